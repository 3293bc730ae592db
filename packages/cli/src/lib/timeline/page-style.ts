/**
 * Style sheet of the timeline page.
 */
export const pageStyle = `
:root { color-scheme: light; --line: #d0d7de; --text: #1f2328; --soft: #59636e; }
body { margin: 24px auto; max-width: 1240px; font: 14px/1.45 system-ui, sans-serif; color: var(--text); }
h1 { font-size: 20px; margin: 0 0 4px; } h2 { font-size: 16px; margin: 28px 0 8px; overflow-wrap: anywhere; }
p { margin: 4px 0; color: var(--soft); }
svg { display: block; width: 100%; height: auto; border: 1px solid var(--line); border-radius: 6px; background: #fff; }
svg text { font: 11px system-ui, sans-serif; fill: var(--text); }
svg .axis { fill: var(--soft); } svg .grid { stroke: var(--line); stroke-width: 1; }
svg .path { fill: none; stroke: #8c959f; stroke-opacity: 0.12; stroke-width: 1; }
svg .followed { fill: none; stroke: #0969da; stroke-width: 1.5; }
.plain { fill: #8c959f; } .good { fill: #1a7f37; } .refused { fill: #bf8700; } .bad { fill: #cf222e; } .alarm { fill: #8250df; } .step { fill: #0969da; }
svg .number { fill: #fff; font-size: 10px; font-weight: 600; text-anchor: middle; }
.legend span { display: inline-block; margin-right: 16px; } .legend svg { display: inline-block; width: 10px; height: 10px; border: 0; vertical-align: -1px; }
table { border-collapse: collapse; margin-top: 10px; width: 100%; } th, td { text-align: left; padding: 3px 10px 3px 0; border-bottom: 1px solid var(--line); vertical-align: top; }
th.right, td.right { width: 1%; padding-right: 16px; text-align: right; font-variant-numeric: tabular-nums; white-space: nowrap; }
section { display: none; } section:target, section.first { display: block; } section:target ~ section.first { display: none; }
`;
