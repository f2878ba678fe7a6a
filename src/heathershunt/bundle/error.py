"""The error of every check on a bundle."""


class BundleError(Exception):
    """A bundle is refused: malformed, badly signed or not newer.

    :param place: path of the fault in the bundle, such as ``accounts.a.share``.
    :param detail: what is wrong there.

    .. versionadded:: 0.1
    """

    def __init__(self, place: str, detail: str) -> None:
        super().__init__(f"{place}: {detail}")
        self.place = place
        self.detail = detail
