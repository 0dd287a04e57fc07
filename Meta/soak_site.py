"""The processes of the soak test: the real programs, a stand-in of the platform,
and proxies between them that delay, reset or silence connections."""
import asyncio
import contextlib
import errno
import http.client
import json
import pathlib
import signal
import subprocess
import time

from fleet import BUILD, free_port

STORE, SERVICE, SECOND_SERVICE = "127.0.1.1", "127.0.3.1", "127.0.3.2"
# Interval at which stand-in engines write their entries (kHeartbeat in SiteEngine.cpp).
HEARTBEAT_S = 0.3


class PortTaken(Exception):
    """Another program bound a port after it was selected."""


class Connection:
    def __init__(self):
        # Directions in which no more data is forwarded.
        self.silenced = set()


class Proxy:
    """TCP proxy that can delay, reset, silence or refuse connections."""

    def __init__(self, address, port, target):
        self.address, self.port, self.target = address, port, target
        self.connections = set()
        self.delay = 0.0
        self.is_refusing = False
        self.writers = set()

    async def start(self):
        try:
            self.server = await asyncio.start_server(self.serve, self.address, self.port)
        except OSError as error:
            raise PortTaken if error.errno == errno.EADDRINUSE else error

    def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self, directions):
        """Stops forwarding data on all connections that are open now."""
        for connection in self.connections:
            connection.silenced |= directions

    async def serve(self, reader, writer):
        if self.is_refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        entry = Connection()
        self.connections.add(entry)
        self.writers |= {writer, target_writer}
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self.pump(reader, target_writer, entry, "there"),
                                 self.pump(target_reader, writer, entry, "back"))
        self.connections.discard(entry)
        self.writers -= {writer, target_writer}

    async def pump(self, reader, writer, connection, direction):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if direction not in connection.silenced:
                    writer.write(data)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            # Tasks are cancelled at the end of the run.
            writer.transport.abort()
            return
        # A silenced connection does not forward a close either.
        if not connection.silenced:
            writer.close()


class Node:
    """A gateway or loader process."""

    def __init__(self, name, address, command, log):
        self.name, self.address, self.command, self.log = name, address, command, log
        self.child = None
        self.is_down = False
        self.is_stopping = False
        self.disturbed_until = 0.0
        self.is_exit_expected = False
        self.unexpected_exit_codes = []

    def start(self):
        self.child = subprocess.Popen(self.command, stdout=open(self.log, "a"), stderr=subprocess.STDOUT,
                                      stdin=subprocess.DEVNULL)
        self.is_exit_expected = False

    def disturb(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def was_disturbed(self, since):
        return self.is_down or self.disturbed_until > since

    def is_only_stopping(self, since):
        return self.is_stopping and self.disturbed_until < since

    def record_exit(self):
        code = self.child.poll()
        if code is not None and not self.is_exit_expected:
            self.unexpected_exit_codes.append(code)


class SoakSite:
    def __init__(self, folder, gateways, engines, rng):
        self.folder, self.random, self.engine_count = pathlib.Path(folder), rng, engines
        names = ("store", "store_proxy", "engine", "listed", "peer", "front", "ready", "metrics")
        ports = set()
        while len(ports) < len(names):
            ports.add(free_port())
        self.ports = dict(zip(names, ports))
        self.ports["service"] = self.ports["engine"]
        self.fault_counts = {}
        self.proxies, self.store_proxies = [], {}
        self.store_disturbed_until = 0.0
        # Times (start, end) of store outages, and (engine, start, end) of engines
        # that were removed from the list.
        self.outages, self.drains = [], []
        self.has_replaced_engine = False
        self.former_keys = ["key-1"]
        self.retry_allowance = 52
        # Of the latest configuration that the store has accepted.
        self.idle_timeout_ms = 5000
        self.standin = None
        self.gateways = [self.make_node("sardinefold-gateway", f"front-{number}", f"127.0.4.{number}",
                                        "ab"[number % 4 == 0], None) for number in range(1, gateways + 1)]
        self.loaders = [self.make_node("sardinefold-loader", f"side-{number}", f"127.0.2.{number}", "ab"[number % 2],
                                       f"127.0.2.{number}:{self.ports['listed']}") for number in range(1, engines + 1)]

    def make_node(self, program, name, address, domain, engine):
        self.write_settings(name, address, domain, engine)
        return Node(name, address, [BUILD / program, f"--node-file={self.folder / name}.yaml",
                                    f"--metrics-port={self.ports['metrics']}"], self.folder / f"{name}.log")

    def write_settings(self, name, address, domain, engine):
        lines = [f'nodeName: "{name}"', f'zone: "{domain}"', f'ip: "{address}"',
                 f"innerPortRange: [{self.ports['peer']}, {self.ports['peer'] + 1}]",
                 f'platform: {{address: "{address}:{self.ports["store_proxy"]}"}}',
                 f"bounds: {{graceS: 6, retrySlack: {self.retry_allowance}}}"]
        if engine:
            lines += [f'app: "{engine}"', 'service: "llm"', "listenAddrs: {}"]
        else:
            lines += [f'listenAddrs: {{front: "{address}:{self.ports["front"]}", ready: "{address}:{self.ports["ready"]}"}}']
        path = self.folder / f"{name}.yaml"
        path.with_suffix(".new").write_text("\n".join(lines) + "\n")
        path.with_suffix(".new").replace(path)

    def nodes(self):
        return self.gateways + self.loaders

    async def start(self):
        ports = self.ports
        self.standin = subprocess.Popen(
            [BUILD / "standin-site", f"--listen={STORE}:{ports['store']}", f"--engines={self.engine_count}",
             "--services=2", f"--port={ports['engine']}", f"--listed-port={ports['listed']}", "--domains=2"],
            stdout=open(self.folder / "standin.log", "w"), stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        hosts = [f"127.0.2.{number}" for number in range(1, self.engine_count + 1)] + [SERVICE]
        self.proxies = [Proxy(host, ports["listed"], (host, ports["engine"])) for host in hosts]
        self.store_proxies = {node.name: Proxy(node.address, ports["store_proxy"], (STORE, ports["store"]))
                              for node in self.nodes()}
        # Not among those that faults are drawn for, on which recorded seeds depend.
        self.second_service = Proxy(SECOND_SERVICE, ports["listed"], (SECOND_SERVICE, ports["engine"]))
        for proxy in self.proxies + list(self.store_proxies.values()) + [self.second_service]:
            await proxy.start()
        for node in self.nodes():
            node.start()
        await self.wait_ready(20)
        for host in (SERVICE, SECOND_SERVICE):
            await self.set_faults(host, ports["engine"], crash_on_target="/order/crash")

    async def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        for gateway in self.gateways:
            while not await self.is_ready(gateway):
                if self.standin.poll() is not None and "already in use" in (self.folder / "standin.log").read_text():
                    raise PortTaken
                if time.monotonic() > end:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, gateway):
        try:
            status, _ = await asyncio.wait_for(
                self.fetch(gateway.address, self.ports["ready"], "GET", "/v1/ready"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def fetch(self, address, port, method, path, body=None):
        """Sends one request on a new connection."""
        def call():
            connection = http.client.HTTPConnection(address, port, timeout=5)
            try:
                connection.request(method, path, json.dumps(body) if body is not None else None)
                response = connection.getresponse()
                return response.status, response.read().decode()
            finally:
                connection.close()
        return await asyncio.get_running_loop().run_in_executor(None, call)

    async def put_configuration(self, version, keys, timeout_ms, idle_timeout_ms):
        """Returns the keys that were in force before, or None if the store did not
        accept the configuration."""
        try:
            status, text = await self.fetch(STORE, self.ports["store"], "GET", "/v1/objects/config/main")
            if status != 200:
                return None
            spec = json.loads(text)["spec"]
            former = spec["tenants"][0]["apiKeys"]
            spec["version"] = version
            spec["tenants"][0]["apiKeys"] = keys
            spec["routes"][2]["timeoutMs"] = timeout_ms
            spec["limits"]["idleTimeoutMs"] = idle_timeout_ms
            status, _ = await self.fetch(STORE, self.ports["store"], "PUT", "/v1/objects/config/main", {"spec": spec})
            if status != 200:
                return None
            self.idle_timeout_ms = idle_timeout_ms
            return former
        except (OSError, http.client.HTTPException, ValueError):
            return None

    async def engine_states(self):
        hosts = [f"127.0.2.{number}" for number in range(1, self.engine_count + 1)] + [SERVICE, SECOND_SERVICE]
        return [json.loads((await self.fetch(host, self.ports["engine"], "GET", "/admin/ran"))[1]) for host in hosts]

    def unexpected_exits(self):
        for node in self.nodes():
            node.record_exit()
        return [(node.name, code) for node in self.nodes() for code in node.unexpected_exit_codes]

    def count(self, fault):
        self.fault_counts[fault] = self.fault_counts.get(fault, 0) + 1

    # Faults of processes

    def pick_node(self):
        running = [node for node in self.nodes() if not node.is_down]
        return self.random.choice(running) if running else None

    async def exit_and_restart(self, node, sent, wait, pause):
        node.is_down = True
        node.is_stopping = sent == signal.SIGTERM
        node.record_exit()
        node.is_exit_expected = True
        node.child.send_signal(sent)
        await asyncio.get_running_loop().run_in_executor(None, node.child.wait, wait)
        await asyncio.sleep(pause)
        node.start()
        node.is_down = node.is_stopping = False
        node.disturb(1.0)

    async def kill_process(self):
        if node := self.pick_node():
            self.count("kill")
            await self.exit_and_restart(node, signal.SIGKILL, 10, self.random.uniform(0.0, 1.5))

    async def stop_process(self):
        if node := self.pick_node():
            self.count("stop")
            await self.exit_and_restart(node, signal.SIGTERM, 20, self.random.uniform(0.0, 0.5))

    async def send_signal_series(self, rng):
        """Sends overlapping signals to a gateway; half of the series stop it."""
        running = [node for node in self.gateways if not node.is_down]
        if not running:
            return
        node = rng.choice(running)
        self.count("signals")
        is_stop = rng.random() < 0.5
        stop = asyncio.create_task(self.exit_and_restart(node, signal.SIGTERM, 20, 0.0)) if is_stop else None
        child = node.child
        for _ in range(rng.randint(2, 6)):
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            if child.poll() is None:
                child.send_signal(rng.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]) if is_stop else signal.SIGHUP)
        if stop:
            await stop

    async def pause_process(self):
        if node := self.pick_node():
            self.count("pause")
            seconds = self.random.uniform(0.2, 4.0)
            node.disturb(seconds)
            child = node.child
            child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            child.send_signal(signal.SIGCONT)

    async def change_settings(self):
        if node := self.pick_node():
            self.count("settings")
            self.retry_allowance = self.random.choice([20, 52, 90])
            text = (self.folder / f"{node.name}.yaml").read_text()
            lines = [line if not line.startswith("bounds") else f"bounds: {{graceS: 6, retrySlack: {self.retry_allowance}}}"
                     for line in text.splitlines()]
            (self.folder / f"{node.name}.yaml").write_text("\n".join(lines) + "\n")
            if self.random.random() < 0.5:
                node.child.send_signal(signal.SIGHUP)

    # Faults of links

    def pick_proxies(self):
        everything = self.proxies + list(self.store_proxies.values())
        chosen = self.random.sample(everything, self.random.randint(1, max(1, len(everything) // 3)))
        for node in self.nodes():
            if self.store_proxies[node.name] in chosen:
                node.disturb(1.0)
        if any(proxy in self.proxies for proxy in chosen):
            for gateway in self.gateways:
                gateway.disturb(1.0)
        return chosen

    async def reset_links(self):
        self.count("reset")
        for proxy in self.pick_proxies():
            proxy.reset()

    async def silence_links(self):
        self.count("silence")
        for proxy in self.pick_proxies():
            proxy.silence({"there", "back"})

    async def cut_one_way(self):
        self.count("one way")
        for proxy in self.pick_proxies():
            proxy.silence({self.random.choice(["there", "back"])})

    async def delay_links(self):
        self.count("delay")
        chosen = self.pick_proxies()
        delay = self.random.uniform(0.02, 0.4)
        for proxy in chosen:
            proxy.delay = delay
        seconds = self.random.uniform(0.5, 2.0)
        for node in self.nodes():
            node.disturb(seconds + 1.0)
        await asyncio.sleep(seconds)
        for proxy in chosen:
            proxy.delay = 0.0

    # Faults of the store and of engines

    async def set_faults(self, address, port, **faults):
        try:
            await self.fetch(address, port, "PUT", "/admin/faults", faults)
        except (OSError, http.client.HTTPException):
            self.count("switch failed")

    async def store_outage(self):
        self.count("outage")
        seconds = self.random.uniform(0.5, 4.0)
        self.store_disturbed_until = max(self.store_disturbed_until, time.monotonic() + seconds)
        self.outages.append((time.monotonic(), time.monotonic() + seconds))
        await self.set_faults(STORE, self.ports["store"], outage=True)
        await asyncio.sleep(seconds)
        await self.set_faults(STORE, self.ports["store"], outage=False)
        self.store_disturbed_until = max(self.store_disturbed_until, time.monotonic())

    async def lose_store_responses(self):
        self.count("lost answers")
        await self.set_faults(STORE, self.ports["store"], lose_answers=self.random.randint(1, 4))

    async def discard_history(self):
        self.count("forget")
        await self.set_faults(STORE, self.ports["store"], forget_history=True)

    def pick_engine(self):
        return f"127.0.2.{self.random.randint(1, self.engine_count)}"

    async def restart_engine(self):
        self.count("engine restart")
        await self.set_faults(self.pick_engine(), self.ports["engine"], restart=True)

    async def interrupt_streams(self):
        self.count("break streams")
        await self.set_faults(self.pick_engine(), self.ports["engine"], break_streams=self.random.randint(1, 3))

    async def lose_orders(self):
        self.count("lose orders")
        await self.set_faults(self.pick_engine(), self.ports["engine"], lose_orders=self.random.randint(1, 2))

    # Removals of engines, with a random generator of their own so that the other
    # faults of recorded seeds stay the same

    async def unlist_engine(self, rng):
        self.count("leaving")
        number = rng.randint(1, self.engine_count)
        host = f"127.0.2.{number}"
        await self.set_faults(host, self.ports["engine"], unlisted=True)
        # The engine's next heartbeat removes its entry.
        drained_at = time.monotonic() + HEARTBEAT_S
        await asyncio.sleep(rng.uniform(3.0, 5.0))
        self.drains.append((number - 1, drained_at, time.monotonic()))
        await self.set_faults(host, self.ports["engine"], unlisted=False)

    async def refuse_gateway(self, rng):
        self.count("turned away")
        gateway = rng.choice(self.gateways)
        proxy = self.store_proxies[gateway.name]
        seconds = rng.uniform(2.5, 5.0)
        gateway.disturb(seconds)
        proxy.is_refusing = True
        proxy.reset()
        await asyncio.sleep(seconds)
        proxy.is_refusing = False

    # Restarts under another instance at the same address, and late copies of refusals

    async def replace_upstream(self, rng):
        self.count("replaced")
        # At most one engine: all callers send the same prompt, which counts as the cause of the
        # failures once several engines have restarted while they stream its completion.
        is_service = self.has_replaced_engine or rng.random() < 0.7
        host = rng.choice([SERVICE, SECOND_SERVICE]) if is_service else f"127.0.2.{rng.randint(1, self.engine_count)}"
        self.has_replaced_engine = self.has_replaced_engine or not is_service
        await self.set_faults(host, self.ports["engine"], replace=True, copy_refusals=rng.randint(5, 40))

    async def refuse_requests(self, rng):
        self.count("refused requests")
        host = rng.choice([f"127.0.2.{number}" for number in range(1, self.engine_count + 1)] + [SERVICE])
        await self.set_faults(host, self.ports["engine"], reject_requests=rng.randint(1, 4),
                              copy_refusals=rng.randint(1, 4))

    def was_store_unavailable(self, since, until):
        return any(start < until and end > since for start, end in self.outages)

    # End of the run

    async def clear_faults(self):
        for proxy in self.proxies + list(self.store_proxies.values()):
            proxy.delay = 0.0
            proxy.is_refusing = False
        await self.set_faults(STORE, self.ports["store"], outage=False, lose_answers=0)
        for node in self.nodes():
            node.child.send_signal(signal.SIGCONT)

    async def stop(self):
        for node in self.nodes():
            node.is_exit_expected = True
            node.child.send_signal(signal.SIGTERM)
        for node in self.nodes():
            await asyncio.get_running_loop().run_in_executor(None, node.child.wait, 15)
        for proxy in self.proxies + list(self.store_proxies.values()) + [self.second_service]:
            proxy.stop()

    def kill_all(self):
        for child in [node.child for node in self.nodes()] + [self.standin]:
            if child and child.poll() is None:
                child.kill()
                child.wait()
