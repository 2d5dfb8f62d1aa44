"""The life of a request: `desk` takes it in and dispatches it, `ends` ends it, `lives` takes it from one life on."""
