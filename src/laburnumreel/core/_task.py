"""Tasks: threads that own their state and sockets and receive messages."""

import queue
import threading
import time
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from laburnumreel.core._logs import Log, define_event

TASK_FAILED = define_event(
    100, "task_failed", "a message handler, a tick or the cleanup of a task raised an exception"
)

ASK_RETRY_DELAY_S = 0.05

_log = Log("core.task")


class TaskStoppedError(Exception):
    """The task has stopped and accepts no more messages."""


class _StopMessage:
    """The message that ends a task."""


class Task:
    """A thread with a mailbox.

    Subclasses override `handle`, which processes one message, and `tick`, which runs every
    `tick_s` seconds. Both run on the task's own thread, so that the state that they use needs no
    lock. The result of `handle` completes the future that `ask` returned for the message.

    >>> class Doubler(Task):
    ...     def handle(self, message):
    ...         return 2 * message
    """

    def __init__(self, name: str, tick_s: float | None = None) -> None:
        self._name = name
        self._tick_s = tick_s
        self._mailbox: queue.SimpleQueue[tuple[Any, Future | None]] = queue.SimpleQueue()
        self._is_stopped = False
        self._done: Future | None = None

    @property
    def name(self) -> str:
        return self._name

    @property
    def has_messages(self) -> bool:
        """Whether messages wait to be handled."""
        return not self._mailbox.empty()

    def start(self, executor: Executor) -> None:
        """Run the task on `executor`, which needs a free worker for each task until it stops."""
        self._done = executor.submit(self._run)

    def start_daemon(self) -> None:
        """Run the task on a thread of its own, for which the end of the process does not wait."""
        done: Future = Future()

        def run() -> None:
            self._run()
            done.set_result(None)

        self._done = done
        threading.Thread(target=run, name=self._name, daemon=True).start()

    def ask(self, message: Any) -> Future:
        """Send a message and return a future of its result.

        The future fails with TaskStoppedError if the task has stopped.
        """
        answer: Future = Future()
        if self._is_stopped:
            answer.set_exception(TaskStoppedError(self._name))
        else:
            self._mailbox.put((message, answer))
        return answer

    def ask_until_true(self, message: Any, timeout_s: float) -> bool:
        """Send a message until its result is true, and return whether that happened in time.

        Returns False at once if the handler raises, which is logged.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            try:
                if self.ask(message).result(max(0.0, deadline - time.monotonic())):
                    return True
            except TimeoutError:
                return False
            except Exception as error:
                _log.error(TASK_FAILED, task=self._name, error=repr(error), exc_info=True)
                return False
            if time.monotonic() + ASK_RETRY_DELAY_S >= deadline:
                return False
            time.sleep(ASK_RETRY_DELAY_S)

    def tell(self, message: Any) -> None:
        """Send a message without a result. It is ignored if the task has stopped."""
        if not self._is_stopped:
            self._mailbox.put((message, None))

    def stop(self, timeout_s: float = 10.0) -> None:
        """Process the remaining messages, run `close`, and wait until the thread has ended."""
        if not self._is_stopped:
            self._is_stopped = True
            self._mailbox.put((_StopMessage(), None))
        if self._done is not None:
            self._done.result(timeout=timeout_s)

    def handle(self, message: Any) -> Any:
        raise TypeError(f"task {self._name} accepts no messages")

    def tick(self) -> None:
        """Run periodic work, every `tick_s` seconds."""

    def close(self) -> None:
        """Release sockets and other resources. Runs last, on the task's thread."""

    def _run(self) -> None:
        next_tick = time.monotonic()
        while True:
            timeout = None
            if self._tick_s is not None:
                timeout = max(0.0, next_tick - time.monotonic())
            try:
                message, answer = self._mailbox.get(timeout=timeout)
            except queue.Empty:
                self._run_logging_errors(self.tick)
                next_tick = time.monotonic() + self._tick_s
                continue
            if isinstance(message, _StopMessage):
                self._run_logging_errors(self.close)
                self._refuse_remaining()
                return
            self._handle_message(message, answer)
            if self._tick_s is not None and time.monotonic() >= next_tick:
                self._run_logging_errors(self.tick)
                next_tick = time.monotonic() + self._tick_s

    def _handle_message(self, message: Any, answer: Future | None) -> None:
        if answer is None:
            self._run_logging_errors(lambda: self.handle(message))
            return
        if not answer.set_running_or_notify_cancel():
            return
        try:
            answer.set_result(self.handle(message))
        except Exception as error:
            answer.set_exception(error)

    def _refuse_remaining(self) -> None:
        while not self._mailbox.empty():
            _, answer = self._mailbox.get()
            if answer is not None and answer.set_running_or_notify_cancel():
                answer.set_exception(TaskStoppedError(self._name))

    def _run_logging_errors(self, call: Callable[[], Any]) -> None:
        try:
            call()
        except Exception as error:
            _log.error(TASK_FAILED, task=self._name, error=repr(error), exc_info=True)
