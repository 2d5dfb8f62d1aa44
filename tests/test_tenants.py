"""Whose message it is: each tenant has a share of its own, and names are as the settings write them."""

from peers import CLASSES, Backend, owed, settled

SHARES = [
    {"name": "север", "quota-per-s": 0.01, "fraction": 0.5},
    {"name": "south", "quota-per-s": 0.01, "fraction": 0.5},
]


def hand_in(client, name, tenant, dest=1, cls="order"):
    return client.ask("ENQUEUE", "0" * 16, name, f"c={cls},t={tenant},d=16000,dest={dest}", b"hello")


def test_one_tenants_flood_does_not_use_up_the_share_of_another(start):
    server, slow = Backend("s1"), Backend("s2", destination=2)
    program = start([server, slow], extra__calls_out=1, projects=SHARES, over_share_worth=0.01)
    client = program.client()
    assert hand_in(client, "bb01", "south", dest=2) == "+OK"  # takes the one slot: the others wait
    held, _ = slow.take()
    for n in range(4):
        assert hand_in(client, f"aa0{n}", "север") == "+OK"
    assert hand_in(client, "aa09", "south") == "+OK"
    held.answer(200)
    line, order = None, []
    for _ in range(5):
        call = line.call() if line else None
        if call is None:
            line, call = server.take()
        order.append(call[1]["x-trace-id"])
        line.answer(200)
    # The share of each begins with two; bb01 took one of the south's.
    assert order.index("aa09") < 3, order


def test_whose_it_is_outlives_the_process(start):
    server = Backend("s1")
    program = start([server], extra__calls_out=1, projects=SHARES)
    client = program.client()
    assert hand_in(client, "aa01", "север") == "+OK" and client.enqueue("aa02", "order", 16000) == "+OK"
    settled(client)
    program.kill()
    assert {kept.id: kept.tenant for kept in owed(program).values()} == {"aa01": "север", "aa02": ""}


def test_an_unknown_tenant_is_refused_and_of_no_interest_where_there_are_none(start):
    server = Backend("s1")
    assert hand_in(start([server], projects=SHARES).client(), "aa01", "east") == "-ERR unknown tenant"
    program = start([server])
    assert hand_in(program.client(), "aa01", "east") == "+OK"
    program.kill()
    assert owed(program)["aa01"].tenant == ""


def test_a_class_may_be_named_in_any_script(start):
    server = Backend("s1")
    client = start([server], grades=[{**CLASSES[0], "name": "обява"}, CLASSES[1]]).client()
    assert hand_in(client, "aa01", "", cls="обява").startswith("-ERR d is beyond")
    assert client.enqueue("aa01", "обява") == "+OK"
    assert client.ask("ENQUEUE", "0" * 16, "aa02", b"c=\xff\xfe,d=1,dest=1", b"x") == "-ERR unknown class"
