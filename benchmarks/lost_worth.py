"""The former name of `benchmarks.lost_value`: `python -m benchmarks.lost_worth` still works."""

from benchmarks.lost_value import LostRequest, OrderTime, lost_requests, main, order_times, read_lines

__all__ = ["LostRequest", "OrderTime", "lost_requests", "main", "order_times", "read_lines"]

if __name__ == "__main__":
    raise SystemExit(main())
