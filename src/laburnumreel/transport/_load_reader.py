"""Reading of engines' load reports for the planners."""

from expression import Error, Ok, Result

from laburnumreel.coordination import LoadReport
from laburnumreel.transport._orders import HttpOrderLink


class HttpLoadReader:
    """Reads load reports with `GET /load`."""

    def __init__(self, link: HttpOrderLink) -> None:
        self._link = link

    def read_load(self, address: tuple[str, int]) -> Result[LoadReport, str]:
        answer = self._link.read(address, "/load")
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.status != 200:
            return Error(f"status {answer.ok.status}")
        try:
            return Ok(LoadReport.from_value(answer.ok.body))
        except ValueError as error:
            return Error(f"malformed load report: {error}")
