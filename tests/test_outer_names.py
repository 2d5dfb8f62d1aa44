"""The list of names that leave the process: whole, found in the program, and found out where one is changed."""

import shutil

import pytest

from linkdock.lab import outer_names
from linkdock.lab.outer_names import LIST, PACKAGE, gone, sections, shown

LISTED = sections(LIST.read_text())


@pytest.mark.parametrize("section", LISTED, ids=lambda section: section.title)
def test_every_name_of_the_list_is_in_the_program(section):
    assert gone(section) == []


def test_what_the_program_shows_to_leave_it_is_on_the_list():
    listed = {name for section in LISTED for name in section.names}
    assert {name: file for name, file in shown().items() if name not in listed} == {}


@pytest.mark.parametrize(
    ("file", "text", "other", "title", "name"),
    [
        ("protocol/enqueue.py", '"dest"', '"to"', "clients, commands and answers", "dest"),
        ("records/observer.py", "client=", "source=", "records, fields", "client"),
        ("undeliverable/store.py", "upto", "up_to", "store of undeliverable messages, tables and columns", "upto"),
        ("console/main.py", "def audit(", "def judge_records(", "commands of linkdock", "audit"),
        ("cluster/interface.py", "SUSPECT", "SUSPECTED", "cluster, figures", "SUSPECT"),
        ("cluster/wire.py", '"fresh?"', '"is-fresh"', "cluster, frames and datagrams", "fresh?"),
    ],
)
def test_a_name_that_is_changed_is_missed(tmp_path, file, text, other, title, name):
    package = tmp_path / "linkdock"
    shutil.copytree(PACKAGE, package, ignore=shutil.ignore_patterns("__pycache__"))
    places = {place for section in LISTED if section.title == title for place in section.places}
    for path in outer_names.sources(places, package):
        path.write_text(path.read_text().replace(text, other))
    assert other in (package / file).read_text()
    assert name in gone(next(section for section in LISTED if section.title == title), package)


def test_a_name_that_is_new_is_missed_on_the_list(tmp_path):
    (tmp_path / "a.py").write_text('import os\nLIMIT = os.environ["RELAY_LIMIT"]\ncode = "LD-LIMIT"\n')
    assert shown(tmp_path) == {"RELAY_LIMIT": "a.py", "LD-LIMIT": "a.py"}


@pytest.mark.parametrize("text", ["name\n[title: a.py]\n", "[title: a.py]\none two one\n"])
def test_a_list_that_is_malformed_is_refused(text):
    with pytest.raises(ValueError):
        sections(text)


def test_a_place_that_is_not_there_is_named():
    with pytest.raises(FileNotFoundError, match="no/such.py"):
        list(outer_names.sources(["no/such.py"]))
