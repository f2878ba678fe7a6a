from heathershunt.discovery import Member, MemberList
from heathershunt.discovery.members import OUTAGE_GRACE_MS


def test_member_that_left_is_not_listed(clock):
    members = MemberList(clock)
    members.put(Member("vm-1", "10.0.0.1:80", "a"))
    members.remove("vm-1")
    assert members.members() == []


def test_member_that_a_new_list_lacks_is_kept_for_the_grace_period(clock):
    # Guards against an empty directory right after an outage in which leases expired.
    members = MemberList(clock)
    member = Member("vm-1", "10.0.0.1:80", "a")
    members.replace_all([member])
    members.replace_all([])
    members.expire()
    assert members.members() == [member]
    clock.advance(OUTAGE_GRACE_MS)
    members.expire()
    assert members.members() == []
