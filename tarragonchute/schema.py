"""The options of each section: type, unit, default, bounds and help.

``settings`` checks files against these tables and ``docs/SETTINGS.md`` is generated
from them, so an option is described in one place only.
"""

import enum

REQUIRED = object()
"""Default of an option that must be given."""


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
    Kind.NAME: "1 to 64 letters, digits and . _ -, first a letter or digit",
    Kind.NAMES: "names separated by spaces",
    Kind.PATTERNS: "names of subtrees separated by spaces; * matches any text",
    Kind.INTEGER: "a whole number",
    Kind.NUMBER: "a decimal number",
    Kind.CHOICE: "one of the listed words",
    Kind.ADDRESS: "IP:PORT that other machines can reach, e.g. 10.0.0.7:7001",
    Kind.LISTEN: "IP:PORT; the IP may be 0.0.0.0 or [::] for all interfaces",
    Kind.DIGEST: "64 hexadecimal digits, the SHA-256 of a token",
}
"""What a value of each kind looks like."""


class Option:
    """One option of a section.

    Parameters
    ----------
    name : str
        Name, or for a repeated option what the name stands for, in capitals.
    kind : Kind
    help : str
        One sentence for operators.
    default : object
        Value when the option is missing, or `REQUIRED`.
    unit : str
        Unit of the value, empty if it has none.
    minimum, maximum : float or None
        Inclusive bounds.
    choices : tuple of str
        Allowed words of a `Kind.CHOICE`.
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
        """Whether a section without this option is a finding."""
        return self.default is REQUIRED


class Section:
    """One kind of section of a file.

    Parameters
    ----------
    name : str
        First word of the header.
    help : str
    options : list of Option
    label : str
        What the second word of the header names, in capitals; empty if the header
        has one word and the section may occur once.
    is_required : bool
        Whether a file without such a section is a finding.
    repeated : Option or None
        Type of options whose names the operator chooses.
    """

    __slots__ = ("name", "help", "options", "label", "is_required", "repeated")

    def __init__(
        self, name, help, options=(), label="", is_required=False, repeated=None
    ):
        self.name = name
        self.help = help
        self.options = {option.name: option for option in options}
        self.label = label
        self.is_required = is_required
        self.repeated = repeated

    @property
    def header(self):
        """The header as written in a file."""
        return f"[{self.name} {self.label}]" if self.label else f"[{self.name}]"


class FileSchema:
    """All sections of one kind of file.

    Parameters
    ----------
    title : str
    file_pattern : str
        Name of such a file in a settings directory.
    help : str
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
    "One file for each VM, read once when the process starts.",
    [
        Section(
            "vm",
            "Identity and addresses of this VM.",
            [
                Option("vm_id", Kind.NAME, "Unique name of the VM in the VM list."),
                Option("domain", Kind.NAME, "Failure domain in which the VM runs."),
                Option(
                    "cell",
                    Kind.NAME,
                    "Group of VMs that share one view.",
                    default="main",
                ),
                Option("caller_address", Kind.LISTEN, "Listens for callers' HTTP."),
                Option(
                    "peer_address", Kind.ADDRESS, "Listens for other VMs; they use it."
                ),
                Option("admin_address", Kind.LISTEN, "Listens for operators' HTTP."),
                Option(
                    "drain_timeout_s",
                    Kind.NUMBER,
                    "Longest wait for requests in flight at shutdown.",
                    default=30.0,
                    unit="s",
                    minimum=1,
                    maximum=600,
                ),
                Option(
                    "bootstrap_token_sha256",
                    Kind.DIGEST,
                    "Digest of a token that opens everything while subtree fleet "
                    "names no operator; unused afterwards.",
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
            "Other VMs, asked for view and settings while the store is down at start.",
            repeated=Option("VM", Kind.ADDRESS, "The VM's peer_address."),
        ),
        Section(
            "log",
            "Log records, written to standard error.",
            [
                Option(
                    "format",
                    Kind.CHOICE,
                    "One JSON object a line, or plain text.",
                    default="json",
                    choices=("json", "text"),
                ),
                Option(
                    "level",
                    Kind.CHOICE,
                    "Lowest level that is written.",
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
    "What all teams share: failure domains, operators and limits.",
    [
        Section(
            "domain",
            "One failure domain.",
            [
                Option(
                    "state",
                    Kind.CHOICE,
                    "out: its targets get no new work and its VMs leave the view.",
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
                    "Callers' requests that one VM works on at the same time.",
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
            "Shares, deadlines and datasets of the team.",
            [
                Option(
                    "weight",
                    Kind.INTEGER,
                    "Share of each VM relative to the other teams.",
                    default=1,
                    minimum=1,
                    maximum=1000,
                ),
                Option(
                    "least_coverage",
                    Kind.NUMBER,
                    "Fraction of shards that a search must reach unless it says "
                    "otherwise.",
                    default=1.0,
                    unit="fraction",
                    minimum=0,
                    maximum=1,
                ),
                Option(
                    "default_deadline_ms",
                    Kind.INTEGER,
                    "Deadline of a request that names none.",
                    default=300,
                    unit="ms",
                    minimum=10,
                    maximum=30_000,
                ),
                Option(
                    "max_deadline_ms",
                    Kind.INTEGER,
                    "Longest deadline that a request may name.",
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
            "One server that answers for shards.",
            [
                Option("address", Kind.ADDRESS, "Address of the target."),
                Option("domain", Kind.NAME, "Failure domain of the target."),
                Option(
                    "slots",
                    Kind.INTEGER,
                    "Requests that the target runs at the same time.",
                    unit="requests",
                    minimum=1,
                    maximum=1000,
                ),
                Option(
                    "max_connections",
                    Kind.INTEGER,
                    "Connections that the target accepts from the whole fleet.",
                    unit="connections",
                    minimum=1,
                    maximum=100_000,
                ),
            ],
            label="ID",
        ),
        Section(
            "layout",
            "Shards of one version. Versions stand in order of publication, the "
            "newest last.",
            label="VERSION",
            is_required=True,
            repeated=Option("SHARD", Kind.NAMES, "Targets that hold the shard."),
        ),
    ],
)

SUBTREE_SCHEMAS = {
    "fleet": FLEET_SCHEMA,
    "team": TEAM_SCHEMA,
    "dataset": DATASET_SCHEMA,
}
"""First part of a subtree's name to its schema."""
