"""Links between a relay and the servers that a test can cut, in each of three forms."""

import base64
import contextlib
import itertools
import json
import selectors
import socket
import struct
import threading

from laburnumreel_standins.processes import fresh_host

# What becomes of a cut link's connections: all hang, all are reset, or open ones live on while new
# ones are refused.
FORMS = ("hang", "reset", "refuse")
RESET = struct.pack("ii", 1, 0)
FIRST_PORT = 8010
# Addresses of a process repeat after 250; links beyond this number get the next port.
LINKS_PER_PORT = 200
BUFFER_BYTES = 65536


_numbers = itertools.count()


class CutLink:
    """A TCP forwarder to one server's address, on an address of its own."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._form = None
        self._lock = threading.Lock()
        self._pairs = set()
        self._fillers = []
        self._listener = None
        self._host = fresh_host()
        self._port = FIRST_PORT + next(_numbers) // LINKS_PER_PORT
        self._listen()

    @property
    def address(self):
        return f"{self._host}:{self._port}"

    def cut(self, form):
        with self._lock:
            self._form = form
            self._close_listener()
            if form == "hang":
                self._hang_new_connections()
            if form == "reset":
                for pair in list(self._pairs):
                    for each in pair:
                        # The connection may just have ended by itself.
                        with contextlib.suppress(OSError):
                            each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                            each.shutdown(socket.SHUT_RDWR)

    def heal(self):
        with self._lock:
            self._form = None
            for each in self._fillers:
                each.close()
            self._fillers = []
            self._close_listener()
            self._listen()

    def end(self):
        with self._lock:
            self._close_listener()
            for each in self._fillers:
                each.close()
            for pair in list(self._pairs):
                for each in pair:
                    with contextlib.suppress(OSError):
                        each.shutdown(socket.SHUT_RDWR)

    def _close_listener(self):
        if self._listener is not None:
            # Ends the accept of the other thread.
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None

    def _open_listener(self, backlog):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port))
        listener.listen(backlog)
        return listener

    def _listen(self):
        self._listener = self._open_listener(128)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _hang_new_connections(self):
        """Listen with a full queue, so that the kernel drops the first packet of new connections."""
        self._listener = self._open_listener(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, 5)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            threading.Thread(target=self._forward, args=((near, far),), daemon=True).start()

    def _forward(self, pair):
        near, far = pair
        self._pairs.add(pair)
        with selectors.DefaultSelector() as selector, contextlib.suppress(OSError):
            selector.register(near, selectors.EVENT_READ, far)
            selector.register(far, selectors.EVENT_READ, near)
            while True:
                for key, _ in selector.select(0.5):
                    data = key.fileobj.recv(BUFFER_BYTES)
                    if not data:
                        raise OSError("ended")
                    if self._form != "hang":
                        key.data.sendall(data)
        self._pairs.discard(pair)
        for each in pair:
            each.close()


class CutLinks:
    """All links of one relay to the servers: the store that it reads names the links' addresses."""

    def __init__(self, world, relay_name):
        self._links = {}
        self._form = None
        # The store's answers are built on several threads.
        self._lock = threading.Lock()
        self._view = world.store.serve_view(self._view_row)
        world.store_addresses[relay_name] = self._view.address

    def cut(self, form):
        with self._lock:
            self._form = form
            for link in self._links.values():
                link.cut(form)

    def heal(self):
        with self._lock:
            self._form = None
            for link in self._links.values():
                link.heal()

    def end(self):
        self._view.end()
        with self._lock:
            for link in self._links.values():
                link.end()

    def _view_row(self, row):
        if row["Table"] != "servers" or "Value" not in row:
            return row
        entry = json.loads(base64.b64decode(row["Value"]))
        with self._lock:
            if row["Key"] not in self._links:
                link = self._links[row["Key"]] = CutLink(entry["Address"])
                if self._form is not None:
                    link.cut(self._form)
            entry["Address"] = self._links[row["Key"]].address
        return {**row, "Value": base64.b64encode(json.dumps(entry).encode()).decode()}
