/**
 * Writes log lines to a file descriptor without ever blocking the process, also at its end.
 *
 * @module
 */
import { fstatSync, write } from "node:fs";
import { Socket } from "node:net";
import { type Clock, toWpError, type Undo } from "@wisteriapick/core";

/** Accepts log lines without ever blocking. */
export interface LineSink {
  /**
   * Returns false if the line was dropped. `bufferShare` is the part of the buffer that it may fill, so that lines
   * which matter less leave room for the others.
   */
  write(line: string, bufferShare: number): boolean;
  /** Writes what is buffered at once. `onEmpty` is called when nothing is left. */
  flush?(onEmpty: () => void): void;
}

/** Writes a buffer and calls `onDone` when it has been written or is lost. */
type Writer = (buf: Buffer, onDone: () => void) => void;

/** Largest number of bytes buffered while the descriptor does not accept them. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Time for which lines are collected before they are written together, in milliseconds. */
const FLUSH_DELAY_MS = 50;
const STDOUT = 1;

/**
 * Writes lines to a file descriptor. While the descriptor accepts nothing, lines are buffered up to a bound and dropped
 * beyond it.
 */
export class DescriptorSink implements LineSink {
  readonly #clock: Clock;
  readonly #write: Writer;
  readonly #onEmpty: (() => void)[] = [];
  #lines: string[] = [];
  #bufferedBytes = 0;
  #stopTimer: Undo | null = null;
  #isWriting = false;

  constructor(clock: Clock, fd: number = STDOUT) {
    this.#clock = clock;
    this.#write = makeWriter(fd, clock);
  }

  write(line: string, bufferShare: number): boolean {
    if (this.#bufferedBytes + line.length > bufferShare * MAX_BUFFERED_BYTES) return false;
    this.#lines.push(line);
    this.#bufferedBytes += line.length;
    this.#stopTimer ??= this.#clock.setTimer(FLUSH_DELAY_MS, () => this.#writeBuffered());
    return true;
  }

  flush(onEmpty: () => void): void {
    this.#onEmpty.push(onEmpty);
    this.#writeBuffered();
  }

  #writeBuffered(): void {
    this.#stopTimer?.();
    this.#stopTimer = null;
    if (this.#isWriting) return;
    if (this.#lines.length === 0) {
      for (const onEmpty of this.#onEmpty.splice(0)) onEmpty();
      return;
    }
    const buf = Buffer.from(this.#lines.join(""));
    this.#lines = [];
    this.#bufferedBytes = 0;
    this.#isWriting = true;
    this.#write(buf, () => {
      this.#isWriting = false;
      this.#writeBuffered();
    });
  }
}

/**
 * Pipes and sockets are written without blocking: a thread of the pool that waits for a reader would also keep the
 * process from exiting, until it is killed. Files and terminals are written on the thread pool.
 */
function makeWriter(fd: number, clock: Clock): Writer {
  try {
    const stat = fstatSync(fd);
    if (stat.isFIFO() || stat.isSocket()) return makeStreamWriter(fd);
  } catch (e) {
    process.stderr.write(`log descriptor ${fd}: ${toWpError(e).message}\n`);
  }
  return makeFileWriter(fd, clock);
}

function makeStreamWriter(fd: number): Writer {
  const socket = new Socket({ fd, readable: false, writable: true });
  // A failure to write the log cannot be logged: the lines are lost, and the process continues.
  socket.on("error", () => {});
  return (buf, onDone) => {
    socket.write(buf, onDone);
  };
}

function makeFileWriter(fd: number, clock: Clock): Writer {
  const writeAll: Writer = (buf, onDone) => {
    write(fd, buf, (err, written) => {
      if (err !== null && err.code !== "EAGAIN") return onDone();
      const rest = buf.subarray(err === null ? written : 0);
      if (rest.length === 0) return onDone();
      clock.setTimer(FLUSH_DELAY_MS, () => writeAll(rest, onDone));
    });
  };
  return writeAll;
}
