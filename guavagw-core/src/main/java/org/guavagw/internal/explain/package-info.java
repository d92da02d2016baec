/** Decision records: how they are gathered, kept and found again. */
package org.guavagw.internal.explain;
