"""Tests of moving the changes of a release into the changelog."""

from tools import changelog

from tests import fixtures


def test_newest_version_stands_above_the_older_ones() -> None:
    """Each change becomes a list item and older sections are unchanged."""
    text = "# Changelog\n\nIntro.\n\n## 0.1.0\n\n- First.\n"
    assert changelog.gather_changes(text, ["One\ntwo.\n", "B.\n"], "0.2.0") == (
        "# Changelog\n\nIntro.\n\n## 0.2.0\n\n- One\n  two.\n- B.\n"
        "\n## 0.1.0\n\n- First.\n"
    )


load_tests = fixtures.collect(__name__)
