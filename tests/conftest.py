"""What the stories share."""

import pytest
from peers import Program


@pytest.fixture
def start(tmp_path):
    programs = []

    def begin(backends, **more):
        programs.append(Program(tmp_path, backends, **more))
        return programs[-1]
    yield begin
    for program in programs:
        program.close()
