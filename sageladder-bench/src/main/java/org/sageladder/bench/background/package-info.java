/** Catalogue pulls that must finish whole beside people who wait. */
@NullMarked
package org.sageladder.bench.background;

import org.jspecify.annotations.NullMarked;
