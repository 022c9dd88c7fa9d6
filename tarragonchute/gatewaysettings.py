"""Settings of one gateway process."""


class GatewaySettings:
    """Settings of one VM's gateway, from its settings file.

    Parameters
    ----------
    vm_id, domain, host : str
    caller_address, ready_address, peer_address, store_address : str
        ``host:port``.
    search_address : str
        Address to which other VMs delegate shards; empty if this VM accepts none.
    cores, link_mbps : float
        Processor time per second and bandwidth of this VM.
    peers : tuple of str
        Peer addresses of some VMs; they may be outdated.
    max_descriptors : int
    memory_mb : float
        Memory of this VM, in units of 1,000,000 bytes.
    stop_grace_s : float
        Time between the request to stop and the forced end of the process.
    retry_share : float
        Retries and hedges of a service that are allowed per first attempt.
    retry_window_s : float
        Length of the sliding window in which attempts are counted, in seconds.
    retry_slack : float
        Retries and hedges of a service that are allowed in addition in each window,
        over all VMs.
    cold_factor, cold_slack : float
        Request rate allowed to a cold target, over all VMs: `cold_rate` of the
        `routes.ServicePolicy` times `cold_factor`, plus `cold_slack`, in requests per
        second.
    allowance_bounds : grants.AllowanceBounds or None
        None if the allowances of customers are not enforced.
    rollout_limits : rolloutstates.RolloutLimits or None
        None if rollouts are off.
    """

    __slots__ = (
        "vm_id",
        "domain",
        "host",
        "caller_address",
        "ready_address",
        "peer_address",
        "search_address",
        "cores",
        "link_mbps",
        "peers",
        "store_address",
        "max_descriptors",
        "memory_mb",
        "stop_grace_s",
        "retry_share",
        "retry_window_s",
        "retry_slack",
        "cold_factor",
        "cold_slack",
        "allowance_bounds",
        "rollout_limits",
    )

    def __init__(self, rollout_limits=None, **values):
        values["rollout_limits"] = rollout_limits
        for name in self.__slots__:
            setattr(self, name, values[name])
