"""Types of command line options that several commands use."""

import click

Address = tuple[str, int]


class _AddressType(click.ParamType):
    name = "HOST:PORT"

    def convert(self, value: str, param: object, ctx: click.Context | None) -> Address:
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal():
            self.fail(f"{value!r} is not HOST:PORT")
        return host, int(port)


ADDRESS = _AddressType()
