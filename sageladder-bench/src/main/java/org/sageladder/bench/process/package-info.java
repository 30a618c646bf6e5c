/**
 * Starts entry daemons as separate processes, with stand-ins for the platform and the targets in
 * the starting process, for benchmarks and end-to-end tests.
 *
 * <p>{@link org.sageladder.bench.process.EntryProcess} and {@link
 * org.sageladder.bench.process.StandIns} are the building blocks; {@link
 * org.sageladder.bench.process.ProcessCluster}, {@link org.sageladder.bench.process.TestBed} and
 * {@link org.sageladder.bench.fleet.Fleet} combine them for different purposes.
 */
@NullMarked
package org.sageladder.bench.process;

import org.jspecify.annotations.NullMarked;
