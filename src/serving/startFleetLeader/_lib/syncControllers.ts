import type { BackendServer, EnginePool } from '../../../ports/serving.js';
import type { EngineController } from '../../createEngineController/index.js';

/** Options of syncControllers. */
export interface SyncControllersOptions {
  servers: ReadonlyMap<string, BackendServer>;
  /** Undefined for a service without models. */
  findPool: (service: string) => EnginePool | undefined;
  createController: (server: BackendServer, pool: EnginePool) => EngineController;
}

/** Creates, updates and closes controllers so that each engine process has one of its own. */
export function syncControllers(
  controllers: Map<string, EngineController>,
  { servers, findPool, createController }: SyncControllersOptions,
): void {
  for (const [id, controller] of controllers) {
    if (servers.has(id)) continue;
    controller.close();
    controllers.delete(id);
  }
  for (const [id, server] of servers) {
    const pool = findPool(server.service);
    if (pool === undefined) continue;
    const controller = controllers.get(id);
    if (controller?.getServer().incarnation === server.incarnation) {
      controller.setPool(pool);
      controller.setServer(server);
      continue;
    }
    controller?.close();
    controllers.set(id, createController(server, pool));
  }
}
