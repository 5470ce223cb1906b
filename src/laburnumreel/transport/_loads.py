"""Reads load reports of engines for the planners."""

from expression import Error, Result

from laburnumreel.coordination import EngineReport
from laburnumreel.transport._orders import HttpOrderLink


class HttpLoadReader:
    """`GET /load` of an engine."""

    def __init__(self, link: HttpOrderLink) -> None:
        self._link = link

    def read_load(self, address: tuple[str, int]) -> Result[EngineReport, str]:
        answer = self._link.read(address, "/load")
        if answer.is_ok() and answer.ok.status != 200:
            return Error(f"status {answer.ok.status}")
        return answer.map(
            lambda report: EngineReport(
                report.body["role"], tuple(report.body["models"]), report.body["draining"]
            )
        )
