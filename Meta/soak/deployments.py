"""The deployments that the soak plays: services, routes, loads and bounds as their operators state them."""

import json
import re
from dataclasses import dataclass

HOST = "soak.example"
KINDS_THAT_MAY_REPEAT = ("safe", "download")


@dataclass(frozen=True)
class Service:
    name: str
    servers: int
    slots: int


@dataclass(frozen=True)
class Route:
    """Times in milliseconds, rate in requests a second over all callers."""

    name: str
    kind: str
    service: str
    rate: float
    work: int
    target: int
    timeout: int
    retries: int
    body_bytes: int = 16
    priority: int = 1

    @property
    def prefix(self):
        return f"/{self.name}/"

    @property
    def may_repeat(self):
        return self.kind in KINDS_THAT_MAY_REPEAT


@dataclass(frozen=True)
class Deployment:
    zones: int
    services: tuple
    routes: tuple
    retry_extra: int

    @property
    def machines(self):
        return sum(service.servers for service in self.services)


DEPLOYMENTS = {
    # A rejected call has the fewest other places here.
    "two-servers": Deployment(1, (Service("ledger", 2, 12),), (
        Route("balance", "safe", "ledger", 60, 30, 150, 800, 1),
        Route("payment", "unsafe", "ledger", 110, 42, 150, 1000, 1, priority=0)), 56),
    "borralimpio-central": Deployment(4, (Service("despacho", 7, 12), Service("cobranza", 5, 12)), (
        Route("job-status", "safe", "despacho", 251, 120, 400, 1000, 1),
        Route("job-booking", "unsafe", "despacho", 112, 160, 500, 1200, 1, priority=0),
        Route("franchise-invoice", "unsafe", "cobranza", 78, 84, 250, 600, 1, priority=0),
        Route("archive-pull", "safe", "cobranza", 61, 480, 1200, 3000, 1, priority=2)), 64),
    "tapos-ph": Deployment(3, (Service("buyer-portal", 5, 12), Service("repair-ledger", 4, 12),
                               Service("evidence-store", 3, 12)), (
        Route("list-view", "safe", "buyer-portal", 358, 90, 300, 800, 1),
        Route("signoff", "unsafe", "repair-ledger", 153, 120, 400, 1000, 1, priority=0),
        Route("photo-upload", "upload", "evidence-store", 41, 110, 400, 1000, 1, 360_000, 0),
        Route("unit-report", "safe", "evidence-store", 119, 36, 150, 400, 1)), 60),
    "cmd-souss-grown": Deployment(3, (Service("catalogue", 38, 12), Service("adherents", 30, 12),
                                      Service("folios", 9, 12), Service("corrections", 4, 12)), (
        Route("chart-lookup", "safe", "catalogue", 907, 200, 600, 1500, 1),
        Route("dues-charge", "unsafe", "adherents", 436, 260, 1000, 2500, 1, priority=0),
        Route("folio-download", "download", "folios", 152, 160, 800, 2000, 1),
        Route("correction-order", "unsafe", "corrections", 117, 160, 600, 1500, 1, priority=0)), 202),
}


def scaled(deployment, factor):
    """The same deployment with `factor` of its requests, and of the slots of its servers."""
    services = tuple(Service(service.name, service.servers, max(2, round(service.slots * factor)))
                     for service in deployment.services)
    routes = tuple(Route(**{**route.__dict__, "rate": route.rate * factor}) for route in deployment.routes)
    return Deployment(deployment.zones, services, routes, deployment.retry_extra)


def configuration(deployment, version):
    """The operator's document of one version."""
    rules = [{"name": route.name, "kind": route.kind, "targetLatency": f"{route.target}ms",
              "priority": route.priority, "match": {"prefix": route.prefix},
              "action": {"service": route.service, "timeout": f"{route.timeout}ms", "maxAttempts": 2}}
             for route in deployment.routes]
    rules.append({"name": f"added-{version}", "kind": "safe", "targetLatency": "200ms", "priority": 3,
                  "match": {"prefix": f"/added-{version}/"},
                  "action": {"service": deployment.services[0].name, "timeout": "1000ms", "maxAttempts": 2}})
    return json.dumps({
        "version": version,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3s", "idleTimeout": "15s"},
        "listeners": [{"host": HOST, "ruleSet": rules}],
        "clusters": [{"name": service.name, "healthPath": "/healthz", "maxConns": 130, "protocol": "h1",
                      "tls": False} for service in deployment.services]})


def settings_fields(machine, store, deployment):
    """The fields of the platform that fill the template of a node's settings."""
    return {
        "nodeName": machine.name, "region": "region", "zone": machine.zone, "ip": machine.ip,
        "appAddr": machine.app, "service": machine.service, "portRange": machine.port_range,
        "limits": {"linkMbps": 1000.0}, "beatInterval": "870ms", "platform": {"address": store},
        "bounds": {"grace": "6s", "retryBudgetRatio": 0.2, "budgetWindow": "10s",
                   "budgetExtra": deployment.retry_extra},
        "listen": {"outbound": machine.outbound, "inbound": machine.inbound, "ready": machine.ready,
                   "control": machine.control}}


def _look_up(fields, path):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills the placeholders and optional sections of deploy/node.toml.template."""
    kept = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda match: match.group(2) if _look_up(fields, match.group(1)) else "", template,
                  flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(_look_up(fields, match.group(1)) or ""), kept)
