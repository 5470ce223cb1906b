"""The task that applies changes of the settings file while a relay runs."""

from collections.abc import Callable

from expression import Result

from laburnumreel.core import Log, SettingsError, Task
from laburnumreel.relay._events import SETTINGS_REJECTED, SETTINGS_RELOADED
from laburnumreel.relay._settings import RelaySettings

# How often the settings file is checked for changes without a signal.
SETTINGS_POLL_S = 1.0

LoadSettings = Callable[[], Result[RelaySettings, list[SettingsError]]]

_log = Log("relay.settings")


class _Reload:
    """The message that has the settings read after a signal."""


class SettingsWatch(Task):
    """Reads the settings each second and after a signal, and keeps the last valid ones.

    The file may be slow to read, which must not delay the stop of the process. `on_change` is
    called with the settings before and after a change, on this task's thread.
    """

    def __init__(
        self,
        settings: RelaySettings,
        load_settings: LoadSettings,
        on_change: Callable[[RelaySettings, RelaySettings], None],
    ) -> None:
        super().__init__("settings", SETTINGS_POLL_S)
        self._settings = settings
        self._load_settings = load_settings
        self._on_change = on_change
        self._is_reload_pending = False

    def reload(self) -> None:
        """Read the settings now, because a signal has announced a change.

        Signals that come before the settings are read are handled together.
        """
        if not self._is_reload_pending:
            self._is_reload_pending = True
            self.tell(_Reload())

    def handle(self, message: object) -> None:
        match message:
            case _Reload():
                self._is_reload_pending = False
                self._reload(signaled=True)
            case _:
                super().handle(message)

    def tick(self) -> None:
        self._reload(signaled=False)

    def _reload(self, signaled: bool) -> None:
        """Apply settings that have changed, whether or not a signal announced the change."""
        loaded = self._load_settings()
        if loaded.is_error():
            for error in loaded.error:
                _log.error(SETTINGS_REJECTED, problem=str(error))
            return
        changed = [
            name
            for name, old, new in zip(RelaySettings._fields, self._settings, loaded.ok, strict=True)
            if old != new
        ]
        if changed or signaled:
            _log.info(SETTINGS_RELOADED, told=signaled, changed=changed)
        before, self._settings = self._settings, loaded.ok
        if changed:
            self._on_change(before, loaded.ok)
