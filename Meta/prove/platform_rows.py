"""Reads and writes the platform's rows and objects directly, for versions that sagecrankctl would never accept."""

import http.client
import json

TABLE = "sagecrank"
BUCKET = "sagecrank"
HEAD_KEY = {"pk": {"S": "head"}, "sk": {"S": "head"}}


def _request(address, method, path, body, headers=None):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _table(address, operation, request):
    status, body = _request(address, "POST", "/", json.dumps(request), {
        "Content-Type": "application/x-amz-json-1.0", "X-Amz-Target": f"DynamoDB_20120810.{operation}"})
    return status, json.loads(body or b"{}")


def _manifest_path(version, publish):
    return f"/{BUCKET}/manifest/{version}-{publish}"


def move_head_to_bad_version(address, random):
    """True when the head moved. An operator who is faster wins, as with any other publish."""
    status, answer = _table(address, "GetItem", {"TableName": TABLE, "Key": HEAD_KEY, "ConsistentRead": True})
    if status != 200 or "Item" not in answer:
        return False
    head = answer["Item"]
    version = int(head["version"]["N"])
    status, manifest = _request(address, "GET", _manifest_path(version, head["publish_id"]["S"]), None)
    if status != 200:
        return False
    # Either bytes that do not match their digest, or bytes that do and name another version.
    damaged = manifest[:-1] if random.random() < 0.5 else manifest
    publish = f"bad{version + 1}"
    _request(address, "PUT", _manifest_path(version + 1, publish), damaged)
    bad = dict(head, version={"N": str(version + 1)}, publish_id={"S": publish})
    status, _ = _table(address, "PutItem", {
        "TableName": TABLE, "Item": bad, "ConditionExpression": "version = :v",
        "ExpressionAttributeValues": {":v": {"N": str(version)}}})
    return status == 200
