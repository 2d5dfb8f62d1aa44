"""Several real processes of the program, faulty links between them, and checks of what happened."""
