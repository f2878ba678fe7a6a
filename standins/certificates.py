"""Certificates for tests and the demo, issued by a temporary authority."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


class Authority:
    """Certificate authority with a self-signed certificate.

    :param folder: directory that the PEM files are written to.
    :ivar path: file of the authority's own certificate.
    """

    def __init__(self, folder, name="authority"):
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._build(self._name, self._key, True, [])
        self.path = self._write(f"{name}.pem", certificate)

    def _build(self, subject, key, is_authority, names):
        start = datetime.datetime(2020, 1, 1)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(start)
            .not_valid_after(start + datetime.timedelta(days=36500))
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(
                    self._key.public_key()
                ),
                False,
            )
            .add_extension(
                x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False
            )
        )
        if names:
            builder = builder.add_extension(x509.SubjectAlternativeName(names), False)
        if is_authority:
            usage = x509.KeyUsage(
                True, False, False, False, False, True, True, False, False
            )
            builder = builder.add_extension(usage, True)
        signed = builder.sign(self._key, hashes.SHA256())
        return signed.public_bytes(serialization.Encoding.PEM)

    def _write(self, name, data):
        path = self._folder / name
        path.write_bytes(data)
        return str(path)

    def issue(self, name):
        """Write a certificate for ``name`` and 127.0.0.1, and its key.

        :returns: the paths of the certificate and of the key.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        host = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        names = [x509.DNSName(name), host]
        pem = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        certificate = self._build(subject, key, False, names)
        return self._write(f"{name}.pem", certificate), self._write(f"{name}.key", pem)
