"""``sesameladder config check``: check the client's settings file."""

from dataclasses import dataclass

import cappa

from sesameladder.client._context import Context
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions


@cappa.command(
    name="check",
    help="Check the settings file.",
    description="Reads the client's settings and shows them. Contacts nothing. "
    + EXIT_CODE_HELP,
)
@dataclass
class CheckConfig(CommonOptions):
    """Check the settings file."""

    def run(self, context: Context) -> ExitCode:
        """Print the settings, which were validated when they were read."""
        settings = context.settings
        lines = [
            "settings are valid",
            f"  platform  {settings.platform_address}, called from {settings.zone}",
            f"  region    {settings.region}",
            f"  author    {settings.author}",
        ]
        lines += [
            f"  instance  {row.instance} in {row.zone}, admin {row.admin_address}"
            for row in settings.instances
        ]
        document = {
            "platform_address": settings.platform_address,
            "region": settings.region,
            "zone": settings.zone,
            "author": settings.author,
            "instances": [
                {
                    "instance": row.instance,
                    "zone": row.zone,
                    "admin_address": row.admin_address,
                }
                for row in settings.instances
            ],
        }
        context.print_result(lines, document)
        return ExitCode.DONE
