"""The manual clock advances only on request and wakes its waiters."""

import threading

from sesameladder.standins import ManualClock


def test_advance_wakes_waiters() -> None:
    """Guards against waiters that are not notified when the clock advances."""
    clock = ManualClock()
    condition = threading.Condition()
    ready = threading.Event()
    seen: list[float] = []

    def wait() -> None:
        with condition:
            ready.set()
            while clock.now() < 5.0:
                clock.wait_until(condition, 5.0)
            seen.append(clock.now())

    waiter = threading.Thread(target=wait)
    waiter.start()
    ready.wait()
    clock.advance(2.0)
    clock.advance(3.0)
    waiter.join()
    assert seen == [5.0]
