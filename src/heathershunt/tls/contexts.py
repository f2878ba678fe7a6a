"""TLS contexts whose certificates can be reloaded while in use."""

import os
import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import logbook

from heathershunt.settings import TlsSettings

log = logbook.Logger("heathershunt.tls")


class TlsError(Exception):
    """A certificate or key file that cannot be used; the message is one line.

    .. versionadded:: 0.1
    """


class TlsContexts:
    """The contexts of one daemon.

    A connection keeps the certificate it was opened with, so a reload interrupts no
    request.

    :ivar server: for the callers' and operators' listeners.
    :ivar peer_server: for the peers' listener; requires a client certificate issued by
        the peers' authority.
    :ivar peer_client: for links to peers; presents the daemon's certificate, and
        requires one issued by the peers' authority for the address of the peer.

    .. versionadded:: 0.1
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self.server = _create_context(ssl.PROTOCOL_TLS_SERVER)
        self.peer_server = _create_context(ssl.PROTOCOL_TLS_SERVER)
        self.peer_server.verify_mode = ssl.CERT_REQUIRED
        self.peer_client = _create_context(ssl.PROTOCOL_TLS_CLIENT)
        self._loaded: tuple[bytes, ...] = ()
        self.reload()

    @classmethod
    def from_settings(cls, settings: TlsSettings | None) -> "TlsContexts | None":
        """Return the contexts, ``None`` if the settings have no TLS section.

        :raises TlsError: if a file cannot be used.
        """
        return None if settings is None else cls(settings)

    def reload(self) -> bool:
        """Read the files again; return whether they have changed.

        Authorities are only added: one that is removed from the file stays trusted
        until the process is restarted.

        :raises TlsError: if a file cannot be used; the certificates loaded before
            stay in use.
        """
        chain, key, authority = self._read()
        if (chain, key, authority) == self._loaded:
            return False
        # Loading a chain and a key that do not match leaves a context without a usable
        # key, so they are first loaded into a context that is not in use.
        self._load(_create_context(ssl.PROTOCOL_TLS_SERVER), chain, key, authority)
        for context in (self.server, self.peer_server, self.peer_client):
            self._load(context, chain, key, authority)
        self._loaded = (chain, key, authority)
        return True

    def _read(self) -> tuple[bytes, bytes, bytes]:
        settings = self._settings
        paths = (settings.certificate, settings.key, settings.peer_authority)
        try:
            chain, key, authority = (Path(path).read_bytes() for path in paths)
        except OSError as error:
            raise TlsError(f"{error.filename}: {error.strerror}") from None
        return chain, key, authority

    def _load(
        self, context: ssl.SSLContext, chain: bytes, key: bytes, authority: bytes
    ) -> None:
        try:
            with _memory_file(chain) as chain_path, _memory_file(key) as key_path:
                context.load_cert_chain(chain_path, key_path, password=_refuse_password)
            context.load_verify_locations(cadata=authority.decode("ascii"))
        except (ssl.SSLError, ValueError, OSError) as error:
            names = f"{self._settings.certificate}, {self._settings.key}"
            raise TlsError(f"{names}: not usable: {error}") from None


def _create_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def _refuse_password() -> str:
    """Reject an encrypted key instead of prompting on the terminal."""
    raise ValueError("the key is encrypted")


@contextmanager
def _memory_file(data: bytes) -> Iterator[str]:
    """Yield the path of an in-memory file with ``data``.

    ``ssl`` loads chains only from paths, and reading the files a second time could
    return a chain and a key that do not belong together.
    """
    handle = os.memfd_create("certificate")
    try:
        os.write(handle, data)
        yield f"/proc/self/fd/{handle}"
    finally:
        os.close(handle)
