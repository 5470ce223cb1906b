"""The operator's configuration that the stand-in of the users' platform serves."""

ROUTE = {
    "Host": "shop.example",
    "TimeoutMs": 3000,
    "TargetLatencyMs": 300,
    "Priority": 1,
    "MaxAttempts": 2,
    "Public": False,
    "Sticky": False,
    "Resumable": False,
    "GapAimMs": 250,
}
ENGINE = {
    "Slots": 8,
    "KvTokens": 100_000,
    "KvBytes": 1000,
    "LinkMbps": 1e6,
    "HandleS": 5.0,
    "SwitchS": 3.0,
    "Models": [{"Name": "m"}],
}


def config(version=1, extra_routes=(), keys=("key-a",)):
    """Return a configuration with a plain service `orders` and a model service `quotes`."""
    routes = [
        {"Name": "safe", "Prefix": "/safe/", "RouteType": "idempotent", "Service": "orders"},
        {"Name": "once", "Prefix": "/once/", "RouteType": "non_idempotent", "Service": "orders"},
        {"Name": "open", "Prefix": "/open/", "RouteType": "idempotent", "Service": "orders"},
        {"Name": "ask", "Prefix": "/ask/", "RouteType": "streaming", "Service": "quotes"},
        {"Name": "talk", "Prefix": "/talk/", "RouteType": "streaming", "Service": "quotes"},
    ]
    routes[2]["Public"] = True
    routes[4]["Resumable"] = True
    return {
        "Version": version,
        "Routes": [{**ROUTE, **route} for route in [*routes, *extra_routes]],
        "Services": [
            {"Name": "orders", "HealthPath": "/health", "MaxConnections": 50},
            {
                "Name": "quotes",
                "HealthPath": "/health",
                "MaxConnections": 50,
                "Engine": ENGINE,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "hall-a", "ApiKeys": list(keys), "Priority": 1}],
    }
