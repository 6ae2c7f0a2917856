"""Find, compare and replace the generated tables between the markers of docs/CAPACITY.md."""

from __future__ import annotations

from benchmarks.records import InvalidRecordError

TABLE_MARKER = "<!-- from the records: "


def markers(name: str) -> tuple[str, str]:
    """Return the markers before and after a generated table."""
    return f"{TABLE_MARKER}{name} -->\n", "\n<!-- end -->"


def marked_text(page: str, name: str) -> str | None:
    """Return the text between the markers of a table, or None unless they occur once and in order."""
    begin, end = markers(name)
    if page.count(begin) != 1:
        return None
    inside, found, _ = page.split(begin)[1].partition(end)
    return inside if found and TABLE_MARKER not in inside else None


def differences(page: str, expected_tables: dict[str, str]) -> list[str]:
    """Describe where the page differs from the expected tables, by table and line."""
    found = []
    for name, text in expected_tables.items():
        inside = marked_text(page, name)
        if inside is None:
            found.append(f"{name}: its markers do not occur exactly once and in order")
            continue
        expected_lines, page_lines = text.splitlines(), inside.splitlines()
        for index in range(max(len(expected_lines), len(page_lines))):
            expected, actual = (lines[index] if index < len(lines) else "(nothing)" for lines in (expected_lines, page_lines))
            if expected != actual:
                found.append(f"{name}, line {index + 1}: the page has {actual!r}, the records give {expected!r}")
    if extra := page.count(TABLE_MARKER) - len(expected_tables):
        found.append(f"{extra} unexpected marked tables")
    return found


def with_tables(page: str, expected_tables: dict[str, str]) -> str:
    """Return the page with its tables replaced.

    Raises:
        InvalidRecordError: If the markers of a table do not occur once and in order.
    """
    for name, text in expected_tables.items():
        inside = marked_text(page, name)
        if inside is None:
            raise InvalidRecordError(f"the markers of {name} do not occur exactly once and in order in the page")
        begin, end = markers(name)
        page = page.replace(begin + inside + end, begin + text + end)
    return page
