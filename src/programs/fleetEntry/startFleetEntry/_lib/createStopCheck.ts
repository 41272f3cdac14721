import type { BackendServer } from '../../../../ports/serving.js';
import type { ListAge } from '../../../../serving/createListAge/index.js';
import type { ServerRegistry } from '../../../../serving/createServerRegistry/index.js';
import type { DeploymentSettings } from '../types.js';

/** Options of createStopCheck. */
export interface StopCheckOptions {
  serverRegistry: Pick<ServerRegistry, 'findServer'>;
  listAge: Pick<ListAge, 'getAgeMs'>;
  settings: Pick<DeploymentSettings, 'maximumStalenessMs'>;
}

/** Creates the check whether a server may have stopped in an orderly way, as far as this host knows. */
export function createStopCheck({
  serverRegistry,
  listAge,
  settings,
}: StopCheckOptions): (server: BackendServer) => boolean {
  return ({ id, incarnation }) => {
    const known = serverRegistry.findServer(id);
    // Stops are announced by the time by which a list may be old.
    const isListOld = listAge.getAgeMs() > settings.maximumStalenessMs;
    return isListOld || known?.incarnation !== incarnation || known.isLeaving;
  };
}
