/**
 * What an agent's own replica of the store says of the engine beside it: its announcement, its service,
 * the operators' orders for its zone. By it the agent checks for itself what gateways may send there.
 */
import { isLater, NO_POSITION } from '../cluster/store-position.js';
import { BackendLives } from '../routing/backend-lives.js';
import type { Backend } from '../routing/backend.js';
import { restrictionOf } from '../routing/backend-restriction.js';
import type { AllowedRegions, RestrictionReason } from '../routing/backend-restriction.js';
import type { RoutingConfiguration, Service } from '../routing/configuration.js';
import type { DecodedRecord } from '../routing/decoded-record.js';
import { findUnknownHome } from '../routing/home-regions.js';
import { NamedHomes, narrow } from '../routing/named-homes.js';
import type { HomeOwner } from '../routing/named-homes.js';
import type { Places } from '../routing/places.js';
import type { AgentHomes } from './slot-messages.js';
import { ZoneEvacuations } from '../routing/zone-evacuations.js';

/** Where the engine is. */
export interface EnginePlace {
  /** IPv4 address and port of the engine. */
  readonly address: string;
  readonly zone: string;
}

/** What an agent knows of its engine. */
export class EngineKnowledge {
  readonly evacuations = new ZoneEvacuations();
  private readonly lives = new BackendLives();
  private readonly announced = new Map<string, Backend>();
  private configuration: RoutingConfiguration | undefined;
  private homes: NamedHomes | undefined;

  constructor(
    private readonly place: EnginePlace,
    private readonly places: Places,
  ) {}

  /** Takes in a record. */
  take(decoded: DecodedRecord, nowMs: number): void {
    if (decoded.kind === 'evacuation') {
      this.evacuations.take(decoded.change, nowMs);
    } else if (decoded.kind === 'backend') {
      for (const { id, backend } of this.lives.take(decoded.name, decoded.announcement).changes) {
        this.takeBackend(id, backend);
      }
    } else if (decoded.kind === 'configuration') {
      this.takeConfiguration(decoded.configuration);
    }
  }

  /** As gateways do it: a newer one counts, unless it names an unknown home and another is in force. */
  private takeConfiguration(configuration: RoutingConfiguration): void {
    const { configuration: inForce } = this;
    const isNewer = inForce === undefined || configuration.version > inForce.version;
    const isRefused = inForce !== undefined && findUnknownHome(configuration, this.places);
    if (isNewer && !isRefused) {
      this.configuration = configuration;
      this.homes = new NamedHomes(configuration);
    }
  }

  /** The newest announcement at the engine's address; undefined while none is known. */
  get backend(): Backend | undefined {
    let newest: Backend | undefined;
    for (const backend of this.announced.values()) {
      if (newest === undefined || isLater(backend, newest)) {
        newest = backend;
      }
    }
    return newest;
  }

  /** The engine's service; undefined while it is not known. */
  get service(): Service | undefined {
    const name = this.backend?.service;
    return this.configuration?.services.find((service) => service.name === name);
  }

  /**
   * Why a request must not be sent to the engine; undefined where it may, or where nothing is known.
   *
   * @param allowedRegions - as the gateway states them
   * @param homeOwner - whose regions the agent's own configuration is asked for beside these
   */
  restriction(
    allowedRegions: AllowedRegions,
    homeOwner?: HomeOwner,
  ): RestrictionReason | undefined {
    const { address, zone } = this.place;
    const known = homeOwner === undefined ? undefined : this.homes?.allowed(homeOwner);
    const backend = this.backend ?? unannounced(address, zone);
    return restrictionOf({ ...backend, zone }, narrow(allowedRegions, known), {
      isEvacuated: (asked) => this.evacuations.isEvacuated(asked),
      regionOf: (asked) => this.places.regionOf(asked),
      // Only gateways know the shares of a roll-out.
      versionUse: () => 'open',
    });
  }

  /** What gateways are told of homes; undefined while the configuration names none. */
  get homesToTell(): AgentHomes | undefined {
    const { configuration, homes } = this;
    if (configuration === undefined || !homes?.hasAny) {
      return undefined;
    }
    const region = this.places.regionOf(this.place.zone);
    return { region, configuration: configuration.version };
  }

  private takeBackend(id: string, backend: Backend | undefined): void {
    if (backend?.address === this.place.address) {
      this.announced.set(id, backend);
    } else {
      this.announced.delete(id);
    }
  }
}

function unannounced(address: string, zone: string): Backend {
  return {
    id: '',
    name: '',
    bornAtMs: undefined,
    service: '',
    address,
    zone,
    version: '',
    slots: 0,
    state: 'ready',
    sequence: 0,
    remainingColdMs: 0,
    ...NO_POSITION,
  };
}
