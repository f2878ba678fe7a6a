"""The commands as the parser sees them; their work is in other modules."""

from fire.decorators import SetParseFn

from heathershunt.cli import bundles, explain, fleet, keys
from heathershunt.cli.context import Context


class BundleCommands:
    """Make, check, sign, approve, roll, show and compare bundles."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @SetParseFn(str)
    def create(self, file: str, out: str, previous: str = "") -> None:
        """Make an unsigned bundle file from a description.

        Args:
            file: TOML description; without a version it follows the previous bundle.
            out: bundle file to write.
            previous: bundle file or root hash that it follows, or "none" for the
                first bundle; by default the bundle in force at the daemons.
        """
        context = self._context
        context.plan(lambda: bundles.create_bundle(context, file, out, previous))

    @SetParseFn(str)
    def check(self, file: str, trusted: str = "") -> None:
        """Check a bundle file as the VMs do.

        Args:
            file: bundle file.
            trusted: public keys, separated by commas; with them the signatures and
                approvals are counted against the policy of the bundle.
        """
        self._context.plan(lambda: bundles.check_bundle_file(file, trusted))

    @SetParseFn(str)
    def sign(self, file: str, key: str) -> None:
        """Sign a bundle file in place.

        Args:
            file: bundle file.
            key: file with the private key.
        """
        self._context.plan(lambda: bundles.mark_bundle(file, key, approve=False))

    @SetParseFn(str)
    def approve(self, file: str, key: str) -> None:
        """Approve a bundle file in place; only by a key that has not signed it.

        Args:
            file: bundle file.
            key: file with the private key.
        """
        self._context.plan(lambda: bundles.mark_bundle(file, key, approve=True))

    @SetParseFn(str)
    def roll(self, file: str) -> None:
        """Roll a bundle out through a daemon.

        Args:
            file: signed and approved bundle file.
        """
        context = self._context
        context.plan(lambda: bundles.roll_bundle(context, file))

    @SetParseFn(str)
    def show(self, file: str = "") -> None:
        """Show what a bundle holds and who signed it.

        Args:
            file: bundle file; by default the bundle in force.
        """
        context = self._context
        context.plan(lambda: bundles.show_bundle(context, file))

    @SetParseFn(str)
    def diff(self, new: str, old: str = "") -> None:
        """Show what a bundle changes.

        Args:
            new: bundle file.
            old: bundle file to compare with; by default the bundle in force.
        """
        context = self._context
        context.plan(lambda: bundles.diff_bundle(context, new, old))


class VmCommands:
    """Drain VMs and admit them again."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @SetParseFn(str)
    def drain(self, vm: str) -> None:
        """Give a VM no new work; requests in flight finish.

        Args:
            vm: name of the VM.
        """
        context = self._context
        context.plan(lambda: fleet.change_vm(context, vm, "drain", "leaving"))

    @SetParseFn(str)
    def admit(self, vm: str) -> None:
        """Give a drained VM new work again.

        Args:
            vm: name of the VM.
        """
        context = self._context
        context.plan(lambda: fleet.change_vm(context, vm, "admit", "live"))


class KeyCommands:
    """Make signing keys and bearer tokens."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @SetParseFn(str)
    def new(self, out: str) -> None:
        """Make an Ed25519 key pair; print the public key.

        Args:
            out: file for the private key, readable by its owner only.
        """
        self._context.plan(lambda: keys.new_key(out))

    @SetParseFn(str)
    def token(self, out: str = "") -> None:
        """Make a bearer token for a client account or an operator key.

        Args:
            out: file for the token; by default it is printed with its hash.
        """
        self._context.plan(lambda: keys.new_token(out))


class Commands:
    """Operate a heathershunt deployment.

    --config FILE names the configuration, by default $HEATHERSHUNT_CONFIG or
    heathershunt.toml. --json prints JSON instead of tables.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.bundle = BundleCommands(context)
        self.vm = VmCommands(context)
        self.keys = KeyCommands(context)

    @SetParseFn(str)
    def status(self) -> None:
        """Show VMs, pipelines, runners and leases."""
        context = self._context
        context.plan(lambda: fleet.show_status(context))

    @SetParseFn(str)
    def explain(self, request: str, logs: str = "-") -> None:
        """Tell what happened to a request, from the logs of gateways.

        Args:
            request: id of the request.
            logs: log files of all VMs, separated by commas; "-" is standard input.
        """
        self._context.plan(lambda: explain.explain_from_logs(request, logs))

    @SetParseFn(str)
    def timeline(
        self,
        request: str = "",
        vm: str = "",
        kind: str = "",
        limit: str = "",
        explain: str = "",
    ) -> None:
        """Show the events of all daemons in causal order.

        Args:
            request: only events of this request.
            vm: only events of this VM.
            kind: only events of this kind.
            limit: the last so many events of each VM, 2000 by default.
            explain: tell what happened to the request in sentences.
        """
        context = self._context
        query = {"request": request, "vm": vm, "kind": kind, "limit": limit}
        context.plan(lambda: fleet.show_timeline(context, query, bool(explain)))
