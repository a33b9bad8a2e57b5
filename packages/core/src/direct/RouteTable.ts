import type { DirectConfig } from './DirectConfig.js';
import type { DirectRoute } from './DirectRoute.js';
import type { DirectService } from './DirectService.js';

interface Workspace {
  readonly name: string;
  readonly priority: number | null;
}

/** Looks up the route, workspace and service of a request in one configuration. */
export class RouteTable {
  readonly config: DirectConfig;

  /** Routes by host, longest prefix first. */
  readonly #routes = new Map<string, DirectRoute[]>();

  /** Workspaces by API key. */
  readonly #workspaces = new Map<string, Workspace>();

  readonly #services = new Map<string, DirectService>();

  /** Priorities that routes give the requests of each service, without repeats. */
  readonly #routePriorities = new Map<string, number[]>();

  /** Priorities that workspaces give their requests, at every service. */
  readonly #workspacePriorities = new Set<number>();

  constructor(config: DirectConfig) {
    this.config = config;
    for (const route of config.routes) {
      const routes = this.#routes.get(route.host);
      if (routes === undefined) this.#routes.set(route.host, [route]);
      else routes.push(route);
      for (const { service } of route.services) this.#addPriority(service, route.priority);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const { name, apiKeys, priority } of config.workspaces ?? []) {
      for (const key of apiKeys) this.#workspaces.set(key, { name, priority });
      if (priority !== null) this.#workspacePriorities.add(priority);
    }
    for (const service of config.services) this.#services.set(service.name, service);
  }

  /** Finds the route with the longest matching prefix. @param path path without its query */
  findRoute(host: string, path: string): DirectRoute | undefined {
    for (const route of this.#routes.get(host) ?? []) {
      if (path.startsWith(route.prefix)) return route;
    }
    return undefined;
  }

  /** Returns whether callers need an API key on routes that are not public. */
  hasWorkspaces(): boolean {
    return this.config.workspaces !== null;
  }

  findWorkspace(apiKey: string): Workspace | undefined {
    return this.#workspaces.get(apiKey);
  }

  /** Returns the number of classes of requests of a service that are more urgent than a priority. */
  rankPriority(service: string, priority: number): number {
    let rank = 0;
    for (const other of this.#workspacePriorities) if (other < priority) rank += 1;
    for (const other of this.#routePriorities.get(service) ?? []) {
      if (other < priority && !this.#workspacePriorities.has(other)) rank += 1;
    }
    return rank;
  }

  findService(name: string): DirectService | undefined {
    return this.#services.get(name);
  }

  #addPriority(service: string, priority: number): void {
    const priorities = this.#routePriorities.get(service);
    if (priorities === undefined) this.#routePriorities.set(service, [priority]);
    else if (!priorities.includes(priority)) priorities.push(priority);
  }
}
