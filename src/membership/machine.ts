/** Machines as the platform's list of live and leaving machines shows them. The list lags behind reality. */
import { z } from 'zod';

/** One process of weirvale on one machine. */
export const machineSchema = z.strictObject({
  /** Entry name, or name of the engine that the agent stands beside. */
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  region: z.string(),
  zone: z.string(),
  place: z.string(),
  address: z.string(),
  /** Port for the protocol between processes. */
  port: z.number().int(),
  state: z.enum(['live', 'leaving']),
});

/** One process of weirvale on one machine. */
export type Machine = z.infer<typeof machineSchema>;

/** Where and who a process is. */
export interface ProcessIdentity {
  readonly name: string;
  /** New at every start. */
  readonly incarnation: string;
  readonly region: string;
  readonly zone: string;
  readonly place: string;
}
