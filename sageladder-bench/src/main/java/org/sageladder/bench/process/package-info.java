/**
 * Starts entry daemons as processes of their own, with stand-ins for the platform and the targets
 * in the process that starts them, for benchmarks and whole-process tests.
 *
 * <p>{@link org.sageladder.bench.process.EntryProcess} and {@link
 * org.sageladder.bench.process.StandIns} are the parts; {@link
 * org.sageladder.bench.process.ProcessCluster}, {@link org.sageladder.bench.process.TestBed} and
 * {@link org.sageladder.bench.fleet.Fleet} put them together for different ends.
 */
@NullMarked
package org.sageladder.bench.process;

import org.jspecify.annotations.NullMarked;
