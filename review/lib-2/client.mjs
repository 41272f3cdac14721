import { request } from 'node:http';
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { KEY } from './fleet.mjs';

export const newId = () => randomBytes(8).toString('hex');

/** Sends one client attempt on a connection of its own (or of an agent); settles with what came back. */
export function send(machine, path, options = {}) {
  const { id = newId(), method = 'POST', headers = {}, body, agent = false } = options;
  const { deadlineMs = 5000 } = options;
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const result = { id, status: 0, headers: {}, body: '', isComplete: false, error: undefined };
    const asked = request(
      {
        host: machine.address,
        port: machine.callerPort,
        path,
        method,
        agent,
        headers: {
          Host: 'depots.example',
          'Request-Id': id,
          'Deadline-Ms': String(deadlineMs),
          Authorization: `Bearer ${KEY}`,
          ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (response) => {
        result.status = response.statusCode;
        result.headMs = Date.now() - sentAt;
        result.headers = response.headers;
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        const finish = () => {
          result.body = Buffer.concat(chunks).toString();
          result.isComplete = response.complete;
          resolve(result);
        };
        response.on('end', finish);
        response.on('error', (error) => {
          result.error = error.code ?? String(error);
          finish();
        });
      },
    );
    asked.setTimeout(deadlineMs + 1000, () => asked.destroy(new Error('deadline')));
    asked.on('error', (error) => {
      result.error = error.code ?? String(error);
      resolve(result);
    });
    asked.end(body);
  });
}
