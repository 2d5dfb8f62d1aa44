"""`python -m linkdock`: one real sender."""

from .service.run import leave, main

leave(main())
