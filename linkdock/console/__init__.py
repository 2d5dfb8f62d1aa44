"""The command `linkdock` and its sub-commands. Not imported by a sender; requirements-console.txt has its libraries."""
