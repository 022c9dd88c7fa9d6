"""Questions that one VM puts to the others, for the admin port."""

import logging

import trio

logger = logging.getLogger(__name__)

INQUIRY = "inquiry"
INQUIRY_ANSWER = "inquiry_answer"
ANSWER_TIMEOUT_S = 1.0


class Inquiries:
    """Asks other VMs and answers their questions.

    Parameters
    ----------
    link : links.Link
    numbers : iterator of int
        Request numbers of this VM, shared with every other user of the link.
    topics : dict of str to callable
        Topic to a function of one JSON argument that returns the JSON answer.
    """

    def __init__(self, link, numbers, topics):
        self._link = link
        self._numbers = numbers
        self._topics = topics
        self._open = {}

    async def ask(self, vm_id, topic, argument=None):
        """Return a VM's answer, or None if it did not come in time.

        Parameters
        ----------
        vm_id, topic : str
        argument : object
            JSON.
        """
        number = next(self._numbers)
        question = _Question(vm_id)
        self._open[number] = question
        try:
            body = {"topic": topic, "argument": argument}
            if self._link.send(vm_id, INQUIRY, body, number):
                with trio.move_on_after(ANSWER_TIMEOUT_S):
                    await question.is_answered.wait()
        finally:
            del self._open[number]
        return question.answer

    async def ask_all(self, vm_ids, topic, argument=None):
        """Ask several VMs at once; return a dict of vm_id to answer or None."""
        answers = dict.fromkeys(vm_ids)

        async def ask_one(vm_id):
            answers[vm_id] = await self.ask(vm_id, topic, argument)

        async with trio.open_nursery() as nursery:
            for vm_id in answers:
                nursery.start_soon(ask_one, vm_id)
        return answers

    def handle_inquiry(self, sender, number, body):
        """Answer another VM's question; unknown topics get no answer."""
        topic = body.get("topic") if isinstance(body, dict) else None
        answer_topic = self._topics.get(topic)
        if answer_topic is None:
            logger.warning("%s asked about the unknown topic %r", sender, topic)
            return
        answer = answer_topic(body.get("argument"))
        self._link.send(sender, INQUIRY_ANSWER, answer, number)

    def handle_answer(self, sender, number, body):
        """Take an answer, if it is still awaited from this VM."""
        question = self._open.get(number)
        if question is not None and question.vm_id == sender:
            question.answer = body
            question.is_answered.set()


class _Question:
    __slots__ = ("vm_id", "is_answered", "answer")

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.is_answered = trio.Event()
        self.answer = None
