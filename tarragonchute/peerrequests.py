"""Requests between VMs, with which the admin port collects data of other VMs."""

import logging

import trio

# JSON log lines carry this name, so it stays although the module was renamed.
logger = logging.getLogger("tarragonchute.inquiries")

PEER_REQUEST = "inquiry"
PEER_ANSWER = "inquiry_answer"
ANSWER_TIMEOUT_S = 1.0


class PeerRequests:
    """Sends requests to other VMs and answers theirs.

    Parameters
    ----------
    link : links.Link
    numbers : iterator of int
        Request numbers of this VM, shared with every other user of the link.
    topics : dict of str to callable
        Maps each topic to a function that gets one JSON argument and returns the
        answer as JSON.
    """

    def __init__(self, link, numbers, topics):
        self._link = link
        self._numbers = numbers
        self._topics = topics
        self._pending_requests = {}

    async def send_request(self, vm_id, topic, argument=None):
        """Return a VM's answer, or None if it did not come in time.

        Parameters
        ----------
        vm_id, topic : str
        argument : object
            JSON.
        """
        number = next(self._numbers)
        request = _PendingRequest(vm_id)
        self._pending_requests[number] = request
        try:
            body = {"topic": topic, "argument": argument}
            if self._link.send(vm_id, PEER_REQUEST, body, number):
                with trio.move_on_after(ANSWER_TIMEOUT_S):
                    await request.is_answered.wait()
        finally:
            del self._pending_requests[number]
        return request.answer

    async def send_request_to_all(self, vm_ids, topic, argument=None):
        """Send a request to several VMs concurrently.

        Returns
        -------
        dict of str to object
            vm_id to the JSON answer, or to None if it did not come in time.
        """
        answers = dict.fromkeys(vm_ids)

        async def send_to_one(vm_id):
            answers[vm_id] = await self.send_request(vm_id, topic, argument)

        async with trio.open_nursery() as nursery:
            for vm_id in answers:
                nursery.start_soon(send_to_one, vm_id)
        return answers

    def handle_request(self, sender, number, body):
        """Answer another VM's request; one with an unknown topic gets no answer."""
        topic = body.get("topic") if isinstance(body, dict) else None
        answer_topic = self._topics.get(topic)
        if answer_topic is None:
            logger.warning("%s sent a request with the unknown topic %r", sender, topic)
            return
        answer = answer_topic(body.get("argument"))
        self._link.send(sender, PEER_ANSWER, answer, number)

    def handle_answer(self, sender, number, body):
        """Accept an answer if a request to its sender is still open."""
        request = self._pending_requests.get(number)
        if request is not None and request.vm_id == sender:
            request.answer = body
            request.is_answered.set()


class _PendingRequest:
    __slots__ = ("vm_id", "is_answered", "answer")

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.is_answered = trio.Event()
        self.answer = None
