"""Schema of the settings files: type, unit, default, bounds and help of each option.

``settings`` validates files against this schema and ``docs/SETTINGS.md`` is generated
from it, so each option is described in one place only.
"""

import enum

REQUIRED = object()
"""Default of an option that a section must contain."""


class Kind(enum.StrEnum):
    """Type of an option's value."""

    NAME = "name"
    NAMES = "names"
    PATTERNS = "patterns"
    INTEGER = "integer"
    NUMBER = "number"
    CHOICE = "choice"
    ADDRESS = "address"
    LISTEN = "listening address"
    DIGEST = "SHA-256 digest"


KIND_HELP = {
    Kind.NAME: "1 to 64 letters, digits, . _ or -, starting with a letter or digit",
    Kind.NAMES: "names separated by spaces",
    Kind.PATTERNS: "subtree names separated by spaces; * matches any characters",
    Kind.INTEGER: "a whole number",
    Kind.NUMBER: "a decimal number",
    Kind.CHOICE: "one of the listed values",
    Kind.ADDRESS: "IP:PORT that other machines can reach, e.g. 10.0.0.7:7001",
    Kind.LISTEN: "IP:PORT; the IP may be 0.0.0.0 or [::] for all interfaces",
    Kind.DIGEST: "64 hexadecimal digits, the SHA-256 of a token",
}
"""Description of a valid value of each kind, for help texts and findings."""


class Option:
    """One option of a section.

    Parameters
    ----------
    name : str
        Name; for a wildcard option, a placeholder in capitals.
    kind : Kind
    help : str
        One sentence for operators.
    default : object
        Value if the option is missing, or `REQUIRED`.
    unit : str
        Unit of the value; empty if it has none.
    minimum, maximum : float or None
        Inclusive bounds; None if there are none.
    choices : tuple of str
        Valid values of a `Kind.CHOICE`.
    """

    __slots__ = (
        "name",
        "kind",
        "help",
        "default",
        "unit",
        "minimum",
        "maximum",
        "choices",
    )

    def __init__(
        self,
        name,
        kind,
        help,
        default=REQUIRED,
        unit="",
        minimum=None,
        maximum=None,
        choices=(),
    ):
        self.name = name
        self.kind = kind
        self.help = help
        self.default = default
        self.unit = unit
        self.minimum = minimum
        self.maximum = maximum
        self.choices = choices

    @property
    def is_required(self):
        """Whether a section without this option is invalid."""
        return self.default is REQUIRED


class Section:
    """One kind of section in a settings file.

    Parameters
    ----------
    name : str
        First word of the section header.
    help : str
        One sentence for operators.
    options : list of Option
    label : str
        Placeholder, in capitals, for the second word of the header; empty if the
        header has one word only and the section may occur once.
    is_required : bool
        Whether a file without such a section is invalid.
    wildcard_option : Option or None
        Describes options whose names the operator chooses.
    """

    __slots__ = ("name", "help", "options", "label", "is_required", "wildcard_option")

    def __init__(
        self, name, help, options=(), label="", is_required=False, wildcard_option=None
    ):
        self.name = name
        self.help = help
        self.options = {option.name: option for option in options}
        self.label = label
        self.is_required = is_required
        self.wildcard_option = wildcard_option

    @property
    def header(self):
        """The section header as written in a file."""
        return f"[{self.name} {self.label}]" if self.label else f"[{self.name}]"


class FileSchema:
    """Schema of one kind of settings file.

    Parameters
    ----------
    title : str
        Heading in the generated page.
    file_pattern : str
        Name of such a file in a settings directory.
    help : str
        One sentence for operators.
    sections : list of Section
    """

    __slots__ = ("title", "file_pattern", "help", "sections")

    def __init__(self, title, file_pattern, help, sections):
        self.title = title
        self.file_pattern = file_pattern
        self.help = help
        self.sections = {section.name: section for section in sections}


VM_SCHEMA = FileSchema(
    "VM file",
    "vm.ini` or `vm.NAME.ini",
    "Settings of one VM, read once at process start.",
    [
        Section(
            "vm",
            "Identity and addresses of this VM.",
            [
                Option("vm_id", Kind.NAME, "Unique name of the VM, as in the VM list."),
                Option("domain", Kind.NAME, "Failure domain of the VM."),
                Option(
                    "cell",
                    Kind.NAME,
                    "Group of VMs that share one view.",
                    default="main",
                ),
                Option(
                    "caller_address", Kind.LISTEN, "Address for callers' HTTP requests."
                ),
                Option(
                    "peer_address",
                    Kind.ADDRESS,
                    "Listening address to which other VMs connect.",
                ),
                Option(
                    "admin_address",
                    Kind.LISTEN,
                    "Address for operators' HTTP requests.",
                ),
                Option(
                    "drain_timeout_s",
                    Kind.NUMBER,
                    "Maximum wait for requests in flight at shutdown.",
                    default=30.0,
                    unit="s",
                    minimum=1,
                    maximum=600,
                ),
                Option(
                    "bootstrap_token_sha256",
                    Kind.DIGEST,
                    "Digest of a token with full access while subtree fleet has no "
                    "operators; ignored afterwards.",
                    default="",
                ),
            ],
            is_required=True,
        ),
        Section(
            "store",
            "The platform's key-value service.",
            [Option("address", Kind.ADDRESS, "Address of the key-value service.")],
            is_required=True,
        ),
        Section(
            "vm_list",
            "The platform's list of VMs.",
            [Option("address", Kind.ADDRESS, "Address of the VM list service.")],
            is_required=True,
        ),
        Section(
            "peers",
            "Other VMs to request view and settings from if the store is down at "
            "startup.",
            wildcard_option=Option("VM", Kind.ADDRESS, "The VM's peer_address."),
        ),
        Section(
            "log",
            "Log records, written to standard error.",
            [
                Option(
                    "format",
                    Kind.CHOICE,
                    "One JSON object per line, or plain text.",
                    default="json",
                    choices=("json", "text"),
                ),
                Option(
                    "level",
                    Kind.CHOICE,
                    "Minimum level of records to write.",
                    default="info",
                    choices=("debug", "info", "warning", "error"),
                ),
            ],
        ),
    ],
)

FLEET_SCHEMA = FileSchema(
    "Subtree fleet",
    "fleet.ini",
    "Failure domains, operators and limits, common to all teams.",
    [
        Section(
            "domain",
            "One failure domain.",
            [
                Option(
                    "state",
                    Kind.CHOICE,
                    "out: its targets get no new requests and its VMs leave the view.",
                    default="in",
                    choices=("in", "out"),
                )
            ],
            label="NAME",
        ),
        Section(
            "operator",
            "One person or program that may change settings.",
            [
                Option("token_sha256", Kind.DIGEST, "Digest of the operator's token."),
                Option(
                    "subtrees",
                    Kind.PATTERNS,
                    "Subtrees that the operator may change, e.g. team/a dataset/*.",
                ),
            ],
            label="NAME",
        ),
        Section(
            "limits",
            "Limits of each VM.",
            [
                Option(
                    "max_in_flight",
                    Kind.INTEGER,
                    "Maximum number of concurrent callers' requests on one VM.",
                    default=256,
                    unit="requests",
                    minimum=1,
                    maximum=100_000,
                )
            ],
        ),
    ],
)

TEAM_SCHEMA = FileSchema(
    "Subtree team/NAME",
    "team.NAME.ini",
    "One team of callers.",
    [
        Section(
            "team",
            "Weight, coverage, deadlines and datasets of the team.",
            [
                Option(
                    "weight",
                    Kind.INTEGER,
                    "Share of each VM's capacity, relative to the other teams.",
                    default=1,
                    minimum=1,
                    maximum=1000,
                ),
                Option(
                    "least_coverage",
                    Kind.NUMBER,
                    "Minimum fraction of shards that must answer a search, unless the "
                    "request sets its own.",
                    default=1.0,
                    unit="fraction",
                    minimum=0,
                    maximum=1,
                ),
                Option(
                    "default_deadline_ms",
                    Kind.INTEGER,
                    "Deadline of a request that sets none.",
                    default=300,
                    unit="ms",
                    minimum=10,
                    maximum=30_000,
                ),
                Option(
                    "max_deadline_ms",
                    Kind.INTEGER,
                    "Longest deadline that a request may set.",
                    default=2000,
                    unit="ms",
                    minimum=10,
                    maximum=30_000,
                ),
                Option("datasets", Kind.NAMES, "Datasets that the team may use."),
            ],
            is_required=True,
        )
    ],
)

DATASET_SCHEMA = FileSchema(
    "Subtree dataset/NAME",
    "dataset.NAME.ini",
    "Targets and layouts of one dataset, written by its publisher.",
    [
        Section(
            "target",
            "One server that holds shards.",
            [
                Option("address", Kind.ADDRESS, "Address of the target."),
                Option("domain", Kind.NAME, "Failure domain of the target."),
                Option(
                    "slots",
                    Kind.INTEGER,
                    "Maximum number of concurrent requests on the target.",
                    unit="requests",
                    minimum=1,
                    maximum=1000,
                ),
                Option(
                    "max_connections",
                    Kind.INTEGER,
                    "Maximum number of connections to the target from the whole fleet.",
                    unit="connections",
                    minimum=1,
                    maximum=100_000,
                ),
            ],
            label="ID",
        ),
        Section(
            "layout",
            "Shards of one version and their targets. Versions are listed in order of "
            "publication, the newest last.",
            label="VERSION",
            is_required=True,
            wildcard_option=Option("SHARD", Kind.NAMES, "Targets that hold the shard."),
        ),
    ],
)

SUBTREE_SCHEMAS = {
    "fleet": FLEET_SCHEMA,
    "team": TEAM_SCHEMA,
    "dataset": DATASET_SCHEMA,
}
"""Maps the first part of a subtree's name to its schema."""
