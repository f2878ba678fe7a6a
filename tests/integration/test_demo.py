from standins.demo import run_demo


async def test_demo_checks_every_answer():
    """The first thing that a newcomer runs must work."""
    assert await run_demo()
