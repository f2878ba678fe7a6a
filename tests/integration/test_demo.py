from standins.demo import run_demo


async def test_demo_reports_success():
    """Guards the demo, often the first program that a new user runs."""
    assert await run_demo()
