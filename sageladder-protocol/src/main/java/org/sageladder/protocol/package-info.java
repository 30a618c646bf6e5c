/** The inner protocol between entry VMs: protobuf messages in authenticated frames over TCP. */
@NullMarked
package org.sageladder.protocol;

import org.jspecify.annotations.NullMarked;
