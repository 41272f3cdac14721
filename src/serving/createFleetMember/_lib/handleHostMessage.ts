import type { FleetConnection } from '../../createFleetTransport/index.js';
import type { FleetMessage, FleetReport } from '../../fleetMessages.js';
import type { FleetLeader } from '../../startFleetLeader/index.js';
import type { AdmissionUpdates } from './createAdmissionUpdates.js';
import type { ConfigurationExchange } from './createConfigurationExchange.js';

/** What handling the message of a host depends on. */
export interface HostMessageContext {
  /** Undefined while this host does not lead. */
  leader: FleetLeader | undefined;
  admissionUpdates: AdmissionUpdates;
  configurations: ConfigurationExchange;
  /** Records what the servers have said of themselves to the host. */
  recordNotices: (report: FleetReport) => void;
  handleConfiguration: (value: Uint8Array) => void;
}

async function handleWish(
  message: Extract<FleetMessage, { type: 'wish' }>,
  connection: FleetConnection,
  leader: FleetLeader | undefined,
): Promise<void> {
  const grant = await leader?.grantAdapter(message);
  connection.send({
    type: 'grant',
    id: message.id,
    server: grant?.server,
    readyInMs: grant?.readyInMs ?? 0,
  });
}

/** Handles, as leader, a message of another host. */
export function handleHostMessage(
  message: FleetMessage,
  connection: FleetConnection,
  context: HostMessageContext,
): void {
  const { leader, admissionUpdates, configurations } = context;
  if (message.type === 'report') {
    context.recordNotices(message);
    leader?.recordReport(message);
    admissionUpdates.schedule();
    configurations.requestNewer(connection, message.version);
  } else if (message.type === 'admissions') {
    leader?.recordAdmissions(message);
    admissionUpdates.schedule();
  } else if (message.type === 'trial') {
    const isGranted = leader?.tryTrial(message.parts) ?? false;
    connection.send({ type: 'trialReply', id: message.id, isGranted });
  } else if (message.type === 'reserve') {
    // Without a reply the host soon falls back on its own share of the limit.
    const { id } = message;
    if (leader !== undefined)
      connection.send({ type: 'reservation', id, ...leader.reserveRequest(message) });
  } else if (message.type === 'wish') void handleWish(message, connection, leader);
  else if (message.type === 'configurationRequest') configurations.sendTo(connection);
  else if (message.type === 'configuration') context.handleConfiguration(message.value);
}
