"""`python -m linkdock`: one real sender."""

import sys

from .service.run import main

sys.exit(main())
