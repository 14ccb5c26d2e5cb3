"""Guards the start and the end of processes in multi-process tests."""

import os
import signal

import aiohttp
import pytest

from briarknot_standins import control, launcher

_MODULE = 'briarknot_standins.service'


def is_alive(pid):
    """Returns whether a process exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


async def test_processes_answer_and_end_with_an_error():
    """A failing test must not leave processes behind."""
    with pytest.raises(ZeroDivisionError):
        async with launcher.make_cluster() as cluster:
            process = await cluster.start(_MODULE, ready_path='/load')
            paused = await cluster.start(_MODULE)
            paused.pause()
            raise ZeroDivisionError
    assert not is_alive(process.pid) and not is_alive(paused.pid)
    assert not cluster.folder.exists()


async def test_kill_is_visible_in_the_exit_status():
    """Tests distinguish a kill from a planned stop by the exit status."""
    async with launcher.make_cluster() as cluster:
        killed = await cluster.start(_MODULE)
        stopped = await cluster.start(_MODULE)
        killed.kill()
        stopped.terminate()
        assert await killed.wait() == -signal.SIGKILL
        assert await stopped.wait() == 0


@pytest.mark.parametrize('name', ['engine', 'platform', 'proxy', 'service'])
async def test_programs_need_their_port_only(name):
    """Each option with a default must be optional on the command line."""
    async with launcher.make_cluster() as cluster:
        process = await cluster.start(f'briarknot_standins.{name}')
        process.terminate()
        assert await process.wait() == 0


async def test_crash_fault_ends_the_process():
    """The other tests replace the crash, so only this one runs it."""
    async with launcher.make_cluster() as cluster:
        process = await cluster.start('briarknot_standins.engine')
        await control.set_faults(process.url, crash_marker='bad')
        assert (await control.read(process.url, '/runs'))['runs'] == {}
        async with aiohttp.ClientSession(process.url) as client:
            body = {'request_id': 'r', 'model': 'standin', 'prompt': 'bad'}
            with pytest.raises(aiohttp.ClientError):
                async with client.post('/v1/completions', json=body) as answer:
                    await answer.read()
        assert await process.wait() > 0


async def test_failed_start_shows_the_output():
    """Without the output the cause of a failed start is not visible."""
    async with launcher.make_cluster() as cluster:
        with pytest.raises(launcher.StartError, match='unknown'):
            await cluster.start(_MODULE, ['--unknown', '1'])


def test_ports_are_not_chosen_twice():
    """Two processes of a test must not get the same port."""
    ports = [launcher.choose_port() for _ in range(50)]
    assert len(set(ports)) == len(ports)
