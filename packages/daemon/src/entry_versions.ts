/**
 * Chooses the version of a service that a request goes to.
 *
 * @module
 */
import type { RequestId, VersionId } from "@wisteriapick/core";
import {
  type ConfigView,
  moveFractionOf,
  type MoveRouter,
  type Service,
} from "@wisteriapick/control";

/** Chooses versions, by the configuration alone or by the moves of the control package. */
export abstract class VersionChooser {
  /** Versions for a request, the preferred one first; empty where none may serve it. */
  abstract choose(view: ConfigView, service: Service, req: RequestId): readonly VersionId[];
}

/** Follows the configuration: an open move's share goes to the new version, the rest to the active one. */
export class ConfiguredVersionChooser extends VersionChooser {
  choose(view: ConfigView, service: Service, req: RequestId): readonly VersionId[] {
    const usable = new Set(service.versions.filter((v) => !v.withdrawn).map((v) => v.id));
    let chosen = service.activeVersion;
    for (const move of view.moves.values()) {
      if (move.state !== "open" || move.service !== service.id || !usable.has(move.to)) continue;
      if (moveFractionOf(move.id, req) < move.share) chosen = move.to;
    }
    const order = [chosen, service.activeVersion].filter((v) => usable.has(v));
    return [...new Set(order)];
  }
}

/** Follows the moves as this process sees them, including those that it stopped on its own evidence. */
export class MoveVersionChooser extends VersionChooser {
  readonly #router: MoveRouter;

  constructor(router: MoveRouter) {
    super();
    this.#router = router;
  }

  choose(_view: ConfigView, service: Service, req: RequestId): readonly VersionId[] {
    const chosen = this.#router.versionFor(service.id, req);
    const usable = new Set(service.versions.filter((v) => !v.withdrawn).map((v) => v.id));
    const order = chosen === null ? [] : [chosen, service.activeVersion];
    return [...new Set(order)].filter((v) => usable.has(v));
  }
}
