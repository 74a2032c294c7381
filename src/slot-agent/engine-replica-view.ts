/**
 * An agent's view of its engine from its own replica of the store: the engine's announcement, its
 * service and the evacuation orders for its zone. The agent uses it to check independently which
 * requests gateways may send to the engine.
 */
import { EMPTY_HEADER_VALUE } from '../http/header-value.js';
import { isLater, NO_POSITION } from '../cluster/store-position.js';
import { BackendIncarnations } from '../routing/backend-incarnations.js';
import type { Backend } from '../routing/backend.js';
import { restrictionOf } from '../routing/backend-restriction.js';
import type { AllowedRegions, RestrictionReason } from '../routing/backend-restriction.js';
import type { RoutingConfiguration, Service } from '../routing/configuration.js';
import type { DecodedRecord } from '../routing/decoded-record.js';
import { findUnknownRegion } from '../routing/region-lists.js';
import { RegionRestrictions, intersectRegions } from '../routing/region-restrictions.js';
import type { RouteAndTenant } from '../routing/region-restrictions.js';
import type { ZoneTopology } from '../routing/zone-topology.js';
import type { AgentRegionInfo } from './slot-messages.js';
import { ZoneEvacuations } from '../routing/zone-evacuations.js';

/** Network address and zone of an engine. */
export interface EngineLocation {
  /** IPv4 address and port of the engine. */
  readonly address: string;
  readonly zone: string;
}

/** Replicated state that concerns one engine. */
export class EngineReplicaView {
  readonly evacuations = new ZoneEvacuations();
  private readonly incarnations = new BackendIncarnations();
  private readonly announcedBackends = new Map<string, Backend>();
  private configuration: RoutingConfiguration | undefined;
  private regionRestrictions: RegionRestrictions | undefined;

  constructor(
    private readonly location: EngineLocation,
    private readonly topology: ZoneTopology,
  ) {}

  /** Applies a decoded record of the store. */
  apply(decoded: DecodedRecord, nowMs: number): void {
    if (decoded.kind === 'evacuation') {
      this.evacuations.apply(decoded.change, nowMs);
    } else if (decoded.kind === 'backend') {
      for (const { id, backend } of this.incarnations.apply(decoded.name, decoded.announcement)
        .changes) {
        this.applyBackend(id, backend);
      }
    } else if (decoded.kind === 'configuration') {
      this.applyConfiguration(decoded.configuration);
    }
  }

  /**
   * Installs a newer configuration. Like gateways, rejects one that allows an unknown region while
   * another configuration is in force.
   */
  private applyConfiguration(configuration: RoutingConfiguration): void {
    const { configuration: inForce } = this;
    const isNewer = inForce === undefined || configuration.version > inForce.version;
    const isRefused = inForce !== undefined && findUnknownRegion(configuration, this.topology);
    if (isNewer && !isRefused) {
      this.configuration = configuration;
      this.regionRestrictions = new RegionRestrictions(configuration);
    }
  }

  /** Latest announcement for the engine's address; undefined while there is none. */
  get backend(): Backend | undefined {
    let newest: Backend | undefined;
    for (const backend of this.announcedBackends.values()) {
      if (newest === undefined || isLater(backend, newest)) {
        newest = backend;
      }
    }
    return newest;
  }

  /** Service that the engine belongs to; undefined while it is unknown. */
  get service(): Service | undefined {
    const name = this.backend?.service;
    return this.configuration?.services.find((service) => service.name === name);
  }

  /**
   * Returns why a request must not be sent to the engine; undefined if it may, or if no restriction
   * is known.
   *
   * @param allowedRegions - regions that the gateway states for the request
   * @param homeOwner - route and tenant whose regions in the agent's own configuration apply in
   * addition
   */
  restriction(
    allowedRegions: AllowedRegions,
    homeOwner?: RouteAndTenant,
  ): RestrictionReason | undefined {
    const { address, zone } = this.location;
    const configuredRegions =
      homeOwner === undefined ? undefined : this.regionRestrictions?.allowedRegionsOf(homeOwner);
    const backend = this.backend ?? placeholderBackend(address, zone);
    return restrictionOf(
      { ...backend, zone },
      intersectRegions(allowedRegions, configuredRegions),
      {
        isEvacuated: (zoneName) => this.evacuations.isEvacuated(zoneName),
        regionOf: (zoneName) => this.topology.regionOf(zoneName),
        // The traffic shares of a rollout are enforced by gateways only.
        versionUse: () => 'open',
      },
    );
  }

  /**
   * Region information sent to gateways; undefined while the configuration restricts no request to
   * regions.
   */
  get regionInfo(): AgentRegionInfo | undefined {
    const { configuration, regionRestrictions } = this;
    if (configuration === undefined || !regionRestrictions?.hasRestrictions) {
      return undefined;
    }
    const region = this.topology.regionOf(this.location.zone);
    return { region, configuration: configuration.version };
  }

  private applyBackend(id: string, backend: Backend | undefined): void {
    if (backend?.address === this.location.address) {
      this.announcedBackends.set(id, backend);
    } else {
      this.announcedBackends.delete(id);
    }
  }
}

function placeholderBackend(address: string, zone: string): Backend {
  return {
    id: '',
    name: EMPTY_HEADER_VALUE,
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
