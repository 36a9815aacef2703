/**
 * A TCP relay between two processes under test, whose connections can go silent or break.
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** Passes bytes on between a new port and `targetPort`. */
export class TcpRelay {
  readonly #pairs = new Set<[Socket, Socket]>();
  readonly #server = createServer((socket) => this.#onSocket(socket));
  targetPort: number;

  constructor(targetPort: number) {
    this.targetPort = targetPort;
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return this.address;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Open connections pass nothing more and stay open; new ones work. */
  stall(): void {
    for (const [a, b] of this.#pairs) {
      a.unpipe(b);
      b.unpipe(a);
      a.resume();
      b.resume();
    }
  }

  /** Breaks the open connections; new ones work. */
  cut(): void {
    for (const [a, b] of this.#pairs) {
      a.destroy();
      b.destroy();
    }
  }

  close(): void {
    this.cut();
    this.#server.close();
  }

  #onSocket(socket: Socket): void {
    const target = connect(this.targetPort, "127.0.0.1");
    const pair: [Socket, Socket] = [socket, target];
    this.#pairs.add(pair);
    for (const [from, to] of [pair, [target, socket]] as const) {
      from.setNoDelay(true);
      from.on("error", () => {});
      from.on("close", () => {
        to.destroy();
        this.#pairs.delete(pair);
      });
      from.pipe(to);
    }
  }
}
