import type { Clock } from '../../../ports/clock.js';
import type { FleetConnection } from '../../createFleetTransport/index.js';
import { encodeConfigurationValue } from './configurationValue.js';

/** Passes configurations on between the leader and the other hosts. */
export interface ConfigurationExchange {
  /** Sets the configuration of this host, as its operators wrote it. */
  setConfiguration: (version: number, value: Buffer) => void;
  getVersion: () => number;
  /** Asks a peer for its configuration if that is newer and was not asked for just before. */
  requestNewer: (connection: FleetConnection, version: number) => void;
  /** Sends this host's configuration to a peer. */
  sendTo: (connection: FleetConnection) => void;
}

// Longer than a configuration is under way, also when the leader sends it to all hosts at once.
const REQUEST_TIMEOUT_MS = 1000;

/** Creates the exchange of a host that has no configuration yet. */
export function createConfigurationExchange(clock: Clock): ConfigurationExchange {
  let current: { version: number; value: Buffer } | undefined;
  let encoded: Buffer<ArrayBuffer> | undefined;
  const requests = new WeakMap<FleetConnection, { version: number; atMs: number }>();
  const getVersion = (): number => current?.version ?? 0;
  return {
    setConfiguration: (version, value) => {
      current = { version, value };
      encoded = undefined;
    },
    getVersion,
    requestNewer: (connection, version) => {
      if (version <= getVersion()) return;
      const nowMs = clock.monotonicMs();
      const request = requests.get(connection);
      const isPending = request?.version === version && nowMs - request.atMs < REQUEST_TIMEOUT_MS;
      if (isPending) return;
      requests.set(connection, { version, atMs: nowMs });
      connection.send({ type: 'configurationRequest' });
    },
    sendTo: (connection) => {
      if (current === undefined) return;
      encoded ??= encodeConfigurationValue(current.value);
      connection.send({ type: 'configuration', value: encoded });
    },
  };
}
