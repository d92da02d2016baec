/** Choice of a backend server for each dispatch; free of I/O. */
package org.guavagw.internal.placement;
