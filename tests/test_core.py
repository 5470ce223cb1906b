"""Tests of the generic building blocks."""

from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.core import Field, Schema, Task, TaskStoppedError, define_event, kinds

SCHEMA = Schema(
    [
        Field("node", "name", kinds.text, None, "the name", required=True),
        Field("node", "count", kinds.integer(1, 5), 2, "a number"),
        Field("log", "level", kinds.choice("info", "debug"), "info", "detail"),
    ]
)


class Doubler(Task):
    def handle(self, message):
        return 2 * message


def test_task_answers_in_order_and_refuses_after_stop():
    """Guards against messages that hang forever because the task has ended."""
    with ThreadPoolExecutor(1) as executor:
        task = Doubler("doubler")
        task.start(executor)
        answers = [task.ask(number) for number in range(10)]
        assert [answer.result(5) for answer in answers] == [2 * n for n in range(10)]
        task.stop()
        with pytest.raises(TaskStoppedError):
            task.ask(1).result(5)


def test_task_survives_a_failing_message():
    """Guards against a failing message that ends the task for all later ones."""
    with ThreadPoolExecutor(1) as executor:
        task = Doubler("doubler")
        task.start(executor)
        with pytest.raises(TypeError):
            task.ask(None).result(5)
        assert task.ask(4).result(5) == 8
        task.stop()


def test_question_whose_handler_fails_is_not_repeated(log_lines):
    """Guards against a shutdown that ends in the middle because a task could not answer."""
    with ThreadPoolExecutor(1) as executor:
        task = Doubler("doubler")
        task.start(executor)
        assert task.ask_until_true(1, 5.0)
        assert not task.ask_until_true(None, 5.0)
        task.stop()
        assert not task.ask_until_true(1, 5.0)
    assert [line["name"] for line in log_lines] == ["task_failed", "task_failed"]


def test_schema_reports_every_error_at_once():
    """Guards against reporting only the first error of a file."""
    errors = SCHEMA.parse("[node]\ncount = 9\nsize = 1\n[extra]\n[log]\nlevel=x\n", "a.ini").error
    assert {(error.section, error.key) for error in errors} == {
        ("node", "size"),
        ("extra", ""),
        ("node", "name"),
        ("node", "count"),
        ("log", "level"),
    }
    assert "a.ini: [node] count: found '9', allowed: a whole number from 1 to 5" in map(str, errors)


@given(st.text(max_size=200))
def test_schema_never_raises(text):
    """Guards against an exception instead of an error message for a malformed file."""
    SCHEMA.parse(text, "a.ini")


def test_event_numbers_are_unique():
    """Guards against two events that share a number in the catalogue."""
    with pytest.raises(ValueError):
        define_event(100, "another", "a second event 100")
