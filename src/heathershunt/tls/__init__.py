"""TLS contexts of the listeners and the peer links, with certificates reread."""

from heathershunt.tls.contexts import TlsContexts, TlsError

__all__ = ["TlsContexts", "TlsError"]
